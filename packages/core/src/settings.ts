/**
 * Settings of the daemons from flags and environment variables, described by the schema. A flag goes before a variable
 * and a variable before the default; everything bad or missing is reported together.
 */
import {
	check, settingsSchema, validators, type AgentSettings, type EntrySettings, type Validator,
} from '@hawthorncleat/schema';

/** The settings of each daemon. */
export type SettingsByKind = {readonly entry: EntrySettings; readonly agent: AgentSettings};

/** A daemon that has settings. */
export type SettingsKind = keyof SettingsByKind;

/** One setting, as help and documentation show it. */
export type SettingDescription = {
	/** Field of the settings object. */
	readonly name: string;
	readonly flag: string;
	readonly variable: string;
	readonly description: string;
	/** What is allowed, in words. */
	readonly allowed: string;
	readonly isNumber: boolean;
	/** Absent when the setting is required. */
	readonly defaultValue?: string | number;
};

/** One bad or missing setting. */
export type SettingFinding = {
	readonly flag: string;
	readonly variable: string;
	/** The value as given, undefined when it is missing. A secret is replaced. */
	readonly value: unknown;
	readonly allowed: string;
	readonly problem: string;
};

/** Where settings come from: values by flag name without dashes, and environment variables. */
export type SettingSources = {
	readonly flags: Readonly<Record<string, unknown>>;
	readonly env: Readonly<Record<string, string | undefined>>;
};

/** Complete settings, or every reason why they are not. */
export type SettingsResult<Kind extends SettingsKind>
	= | {readonly ok: true; readonly settings: SettingsByKind[Kind]}
		| {readonly ok: false; readonly findings: readonly SettingFinding[]};

type Property = {
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
const propertiesByKind: Record<SettingsKind, Readonly<Record<string, Property>>> = {
	entry: definitions.EntrySettings.properties,
	agent: definitions.AgentSettings.properties,
};
const validatorByKind: Record<SettingsKind, Validator> = {
	entry: validators.validateEntrySettings as Validator,
	agent: validators.validateAgentSettings as Validator,
};

/** Their values never appear in findings, which end up in logs. */
const secretSettings = new Set(['adminToken']);
const hiddenValue = '(hidden)';

const resolveProperty = (property: Property): Property =>
	property.$ref === '#/$defs/Port' ? {...definitions.Port, ...property} : property;

const describeRange = ({minimum, maximum}: Property): string => {
	const from = minimum === undefined ? '' : ` from ${minimum}`;
	return maximum === undefined ? from : `${from} to ${maximum}`;
};

const describeAllowed = (property: Property): string => {
	if (property.enum) {
		return `one of ${property.enum.join(', ')}`;
	}

	if (property.type === 'integer') {
		return `an integer${describeRange(property)}`;
	}

	return property.pattern === undefined ? 'any text' : `text that matches /${property.pattern}/`;
};

const toKebabCase = (name: string): string => name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** The environment variable of a flag, given without dashes in front. */
export const environmentVariableOf = (flag: string): string => `HAWTHORNCLEAT_${flag.replaceAll('-', '_').toUpperCase()}`;

/** Describes every setting of a daemon. */
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

/** Text that is no integer stays text, so that the validator reports it. */
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

/** Reads the settings of a daemon. */
export const readSettings = <Kind extends SettingsKind>(kind: Kind, sources: SettingSources): SettingsResult<Kind> => {
	const settings = describeSettings(kind);
	const given = settings.map(setting => ({setting, value: readSource(setting, sources) ?? setting.defaultValue}));
	const values = Object.fromEntries(given.map(({setting, value}) => [setting.name, parseValue(setting, value)]));
	const checked = check<SettingsByKind[Kind]>(validatorByKind[kind], values);
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

/** One finding on one line. */
export const formatSettingFinding = (finding: SettingFinding): string => {
	const {flag, variable, value, allowed, problem} = finding;
	const shown = value === undefined ? '' : ` ${JSON.stringify(value)}`;
	return `${flag} (${variable})${shown} ${problem}; allowed: ${allowed}`;
};
