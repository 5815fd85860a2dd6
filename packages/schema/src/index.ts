export type * from './generated/config.js';
export type * from './generated/platform.js';
export type * from './generated/settings.js';
export type * from './generated/wire.js';
export {settingsSchema} from './generated/settings-schema.js';
export {configSchema} from './generated/config-schema.js';
export * as validators from './generated/validators.js';
export {
	validate, type ValidationResult, type Finding, type Validator,
} from './validate.js';
