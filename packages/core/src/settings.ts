/**
 * Reads the settings of the daemons from flags and environment variables, as the schema defines them. A flag overrides a
 * variable, and a variable overrides the default. All invalid and missing settings are reported together.
 */
import {
	validate, settingsSchema, validators, type AgentSettings, type EntrySettings, type Validator,
} from '@hawthorncleat/schema';

/** The settings of each daemon. */
export type SettingsByKind = {readonly entry: EntrySettings; readonly agent: AgentSettings};

/** The kinds of daemons that have settings. */
export type SettingsKind = keyof SettingsByKind;

/** Description of a setting for the help text and the documentation. */
export type SettingDescription = {
	/** Name of the field in the settings object. */
	readonly name: string;
	readonly flag: string;
	readonly variable: string;
	readonly description: string;
	/** Description of the allowed values. */
	readonly allowed: string;
	readonly isNumber: boolean;
	/** Absent if the setting is required. */
	readonly defaultValue?: string | number;
};

/** One invalid or missing setting. */
export type SettingFinding = {
	readonly flag: string;
	readonly variable: string;
	/** The value as given, or undefined if it is missing. A secret value is replaced by a placeholder. */
	readonly value: unknown;
	readonly allowed: string;
	readonly problem: string;
};

/** The sources of settings: values by flag name, without the leading dashes, and environment variables. */
export type SettingSources = {
	readonly flags: Readonly<Record<string, unknown>>;
	readonly env: Readonly<Record<string, string | undefined>>;
};

/** Valid settings, or all findings about them. */
export type SettingsResult<Kind extends SettingsKind>
	= | {readonly ok: true; readonly settings: SettingsByKind[Kind]}
		| {readonly ok: false; readonly findings: readonly SettingFinding[]};

type SettingSchema = {
	readonly $ref?: string;
	readonly type?: string;
	readonly enum?: readonly string[];
	readonly pattern?: string;
	readonly minimum?: number;
	readonly maximum?: number;
	readonly description?: string;
	readonly default?: string | number;
};

const definitions = settingsSchema.$defs;
const propertiesByKind: Record<SettingsKind, Readonly<Record<string, SettingSchema>>> = {
	entry: definitions.EntrySettings.properties,
	agent: definitions.AgentSettings.properties,
};
const validatorByKind: Record<SettingsKind, Validator> = {
	entry: validators.validateEntrySettings as Validator,
	agent: validators.validateAgentSettings as Validator,
};

/** The values of these settings never appear in findings, because findings are logged. */
const secretSettings = new Set(['adminToken']);
const hiddenValue = '(hidden)';

const resolveProperty = (property: SettingSchema): SettingSchema =>
	property.$ref === '#/$defs/Port' ? {...definitions.Port, ...property} : property;

const describeRange = ({minimum, maximum}: SettingSchema): string => {
	const from = minimum === undefined ? '' : ` from ${minimum}`;
	return maximum === undefined ? from : `${from} to ${maximum}`;
};

const describeAllowed = (property: SettingSchema): string => {
	if (property.enum) {
		return `one of ${property.enum.join(', ')}`;
	}

	if (property.type === 'integer') {
		return `an integer${describeRange(property)}`;
	}

	return property.pattern === undefined ? 'any text' : `text that matches /${property.pattern}/`;
};

const toKebabCase = (name: string): string => name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** Returns the name of the environment variable for a flag, which is given without the leading dashes. */
export const environmentVariableOf = (flag: string): string => `HAWTHORNCLEAT_${flag.replaceAll('-', '_').toUpperCase()}`;

/** Returns the descriptions of all settings of a daemon. */
export const describeSettings = (kind: SettingsKind): readonly SettingDescription[] =>
	Object.entries(propertiesByKind[kind]).map(([name, given]) => {
		const property = resolveProperty(given);
		const flag = toKebabCase(name);
		return {
			name,
			flag,
			variable: environmentVariableOf(flag),
			description: property.description ?? '',
			allowed: describeAllowed(property),
			isNumber: property.type === 'integer',
			defaultValue: property.default,
		};
	});

/** Converts integers. Any other text stays unchanged, so that the validator reports it. */
const parseValue = ({isNumber}: SettingDescription, value: unknown): unknown =>
	isNumber && typeof value === 'string' && /^-?\d+$/.test(value) ? Number(value) : value;

/** An empty variable counts as unset, because many process managers cannot unset one. */
const readSource = (setting: SettingDescription, {flags, env}: SettingSources): unknown => {
	const variable = env[setting.variable];
	return flags[setting.flag] ?? (variable === '' ? undefined : variable);
};

const createFinding = (setting: SettingDescription, value: unknown, problem: string): SettingFinding => {
	const isHidden = secretSettings.has(setting.name) && value !== undefined;
	const {flag, variable, allowed} = setting;
	return {
		flag: `--${flag}`, variable, allowed, problem, value: isHidden ? hiddenValue : value,
	};
};

/** Reads and validates the settings of a daemon. */
export const readSettings = <Kind extends SettingsKind>(kind: Kind, sources: SettingSources): SettingsResult<Kind> => {
	const settings = describeSettings(kind);
	const given = settings.map(setting => ({setting, value: readSource(setting, sources) ?? setting.defaultValue}));
	const values = Object.fromEntries(given.map(({setting, value}) => [setting.name, parseValue(setting, value)]));
	const checked = validate<SettingsByKind[Kind]>(validatorByKind[kind], values);
	if (checked.ok) {
		return {ok: true, settings: checked.value};
	}

	const problems = new Map(checked.findings.map(({place, problem}) => [place.slice(1), problem]));
	const findings = given.flatMap(({setting, value}) => {
		const problem = value === undefined ? 'is missing' : problems.get(setting.name);
		return problem === undefined ? [] : [createFinding(setting, value, problem)];
	});
	return {ok: false, findings};
};

/** Formats a finding as one line of text. */
export const formatSettingFinding = (finding: SettingFinding): string => {
	const {flag, variable, value, allowed, problem} = finding;
	const shown = value === undefined ? '' : ` ${JSON.stringify(value)}`;
	return `${flag} (${variable})${shown} ${problem}; allowed: ${allowed}`;
};
