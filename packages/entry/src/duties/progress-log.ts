/**
 * One log line when the rounds of a duty begin to fail and one when they succeed again, however many rounds lie between.
 */
import type {Log, LogFields} from '@hawthorncleat/telemetry';

export type ProgressLogOptions = {
	readonly log: Log;
	readonly fields: LogFields;
	/** Line when rounds begin to fail; the reason is added to the fields. */
	readonly failing: string;
	/** Line when a round has succeeded after that. */
	readonly recovered: string;
};

/** Notes the result of each round. */
export class ProgressLog {
	readonly #options: ProgressLogOptions;
	#isFailing = false;

	constructor(options: ProgressLogOptions) {
		this.#options = options;
	}

	succeeded(): void {
		if (this.#isFailing) {
			this.#isFailing = false;
			const {log, recovered, fields} = this.#options;
			log.info(recovered, fields);
		}
	}

	failed(reason: string): void {
		if (!this.#isFailing) {
			this.#isFailing = true;
			const {log, failing, fields} = this.#options;
			log.warn(failing, {...fields, reason});
		}
	}
}
