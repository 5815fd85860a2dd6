/**
 * Tokens that callers asked for within the last seconds.
 */

/** Tokens a second. */
export type TokenRate = {readonly promptTokensPerSecond: number; readonly outputTokensPerSecond: number};

const slotMs = 500;
const slots = 8;

type Slot = {number: number; prompt: number; output: number};

export class TokenWindow {
	readonly #slots: Slot[] = Array.from({length: slots}, () => ({number: -1, prompt: 0, output: 0}));

	add(promptTokens: number, outputTokens: number, nowMs: number): void {
		const number = Math.floor(nowMs / slotMs);
		const slot = this.#slots[number % slots]!;
		if (slot.number !== number) {
			Object.assign(slot, {number, prompt: 0, output: 0});
		}

		slot.prompt += promptTokens;
		slot.output += outputTokens;
	}

	rate(nowMs: number): TokenRate {
		const oldest = Math.floor(nowMs / slotMs) - slots;
		let prompt = 0;
		let output = 0;
		for (const slot of this.#slots) {
			if (slot.number > oldest) {
				prompt += slot.prompt;
				output += slot.output;
			}
		}

		const seconds = slots * slotMs / 1000;
		return {promptTokensPerSecond: prompt / seconds, outputTokensPerSecond: output / seconds};
	}
}
