/**
 * What the entry answers to other processes of the system that connect to it.
 */
import type {HelloResult} from '@hawthorncleat/schema';
import type {Handlers, Peer} from '@hawthorncleat/wire';
import type {PeerServices} from './deps.js';

/** Creates the handlers of the internal port. */
export const createInternalHandlers = (
	services: PeerServices,
	hello: () => HelloResult,
	learn: (fingerprints: readonly string[]) => void,
): Handlers<Peer> => {
	const {
		configSince, askFreshness, announcePublish, finishPublish, announceDuty, attestDuty,
	} = services;
	return {
		hello(params, peer) {
			peer.remoteId = params.id;
			services.onPeerVersion?.(params.configVersion);
			return hello();
		},
		'crash.suspect'({fingerprints}) {
			learn(fingerprints);
		},
		...(configSince && {'config.since': async params => configSince(params)}),
		...(askFreshness && {'freshness.ask': async params => askFreshness(params)}),
		...(announcePublish && {'publish.announce': async params => announcePublish(params)}),
		...(finishPublish && {'publish.finish': async params => finishPublish(params)}),
		...(announceDuty && {'duty.announce': async params => announceDuty(params)}),
		...(attestDuty && {'duty.attest': async params => attestDuty(params)}),
	};
};
