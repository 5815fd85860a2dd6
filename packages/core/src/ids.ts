/**
 * Branded identifier types. The compiler rejects, for instance, an endpoint id where a host id is expected, although both
 * are strings.
 */

declare const brand: unique symbol;

/** A value that is distinguished from others of its type by a name, which exists only at compile time. */
export type Branded<Value, Name extends string> = Value & {readonly [brand]: Name};

export type HostId = Branded<string, 'HostId'>;
export type EndpointId = Branded<string, 'EndpointId'>;
export type EntryId = Branded<string, 'EntryId'>;
export type AgentId = Branded<string, 'AgentId'>;
export type ClientAccountName = Branded<string, 'ClientAccountName'>;
export type KeyHash = Branded<string, 'KeyHash'>;
export type RequestId = Branded<string, 'RequestId'>;
export type ActionId = Branded<string, 'ActionId'>;
export type ClaimId = Branded<string, 'ClaimId'>;
export type ConfigVersion = Branded<number, 'ConfigVersion'>;
export type Incarnation = Branded<string, 'Incarnation'>;
export type LeaseEpoch = Branded<number, 'LeaseEpoch'>;
export type OrderNumber = Branded<number, 'OrderNumber'>;
/** How often the platform's store has returned from an older copy. It has then lost acknowledged writes; 0 means never. */
export type StoreGeneration = Branded<number, 'StoreGeneration'>;
export type WindowId = Branded<string, 'WindowId'>;
export type Fingerprint = Branded<string, 'Fingerprint'>;
/** Version of the software of an endpoint, not of the weights that it serves. */
export type SoftwareVersion = Branded<string, 'SoftwareVersion'>;
/** A prompt segment of one service. */
export type SegmentKey = Branded<string, 'SegmentKey'>;

/** Brands a plain value, for instance one that was read from a message or a setting. */
export const brandAs = <Id extends Branded<string | number, string>>(value: Id extends string ? string : number): Id =>
	value as unknown as Id;

/** Creates a unique id. It is passed as an argument so that tests control it. */
export type MakeId = () => string;
