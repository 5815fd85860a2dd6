/**
 * Decides whether a caller's connection stays open after an answer.
 */
import type {ServerResponse} from 'node:http';

/** The answers that are under way and what becomes of their connections. */
export class AnswerConnections {
	readonly #answers = new Set<ServerResponse>();
	#isEnding = false;

	/** Whether an answer has been written and not been sent completely, as to a caller that reads slowly. */
	get hasUnsent(): boolean {
		return [...this.#answers].some(res => res.writableEnded && !res.req.socket.destroyed);
	}

	add(res: ServerResponse): void {
		this.#answers.add(res);
		res.once('close', () => {
			this.#answers.delete(res);
		});
		this.#mark(res);
	}

	/** From now on each connection ends after its last answer, also after those that are under way and have not begun. */
	endAfterAnswers(): void {
		this.#isEnding = true;
		// Answers are in the order of their requests, so the last one of each connection stays.
		const lastAnswers = new Map([...this.#answers].map(res => [res.req.socket, res]));
		for (const res of lastAnswers.values()) {
			this.#mark(res);
		}
	}

	/** Connections stay open after the answers to further requests. */
	keep(): void {
		this.#isEnding = false;
	}

	#mark(res: ServerResponse): void {
		if (this.#isEnding && !res.headersSent) {
			res.setHeader('connection', 'close');
		}
	}
}
