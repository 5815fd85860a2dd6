/**
 * The command line: which commands and flags there are, and which function runs each. Parsing only selects the
 * function, so that help and wrong usage are handled in one place.
 */
import {describeSettings, environmentVariableOf, type SettingsKind} from '@hawthorncleat/core';
import type {ObjectKind} from '@hawthorncleat/schema';
import yargs, {type Argv} from 'yargs';
import {createAdminClient, type AdminClient} from './admin-client.js';
import {runApply, runDiff, runValidate} from './commands/change.js';
import {runLocal as runDevelopment} from './commands/dev.js';
import {runKeyIssue, runKeyWithdraw} from './commands/key.js';
import {
	objectKinds, runDrain, runGet, runStatus,
} from './commands/show.js';
import type {CommandContext} from './context.js';
import {runDaemon} from './daemons/run.js';
import {createCommandError, exitCodes, type ExitCode} from './exit-codes.js';
import {packageVersion} from './version.js';

/** Runs the selected command. */
export type RunCommand = (context: CommandContext) => Promise<ExitCode>;

/** Called by a command's handler. */
export type SelectCommand = (run: RunCommand) => void;

type AdminFlags = {readonly adminUrl?: string; readonly adminToken?: string};

const adminOptions = {
	'admin-url': {type: 'string', requiresArg: true, describe: `Admin API of an entry, or ${environmentVariableOf('admin-url')}`},
	'admin-token': {type: 'string', requiresArg: true, describe: `Bearer token, or ${environmentVariableOf('admin-token')}`},
} as const;
const baseOption = {
	base: {type: 'string', requiresArg: true, describe: 'Snapshot file to compare with instead of an entry (output of get)'},
} as const;
const jsonOption = {json: {type: 'boolean', default: false, describe: 'Print JSON instead of YAML'}} as const;

const connect = ({env}: CommandContext, flags: AdminFlags): AdminClient => {
	const url = flags.adminUrl ?? env[environmentVariableOf('admin-url')];
	const token = flags.adminToken ?? env[environmentVariableOf('admin-token')];
	const missing = [
		...url !== undefined && URL.canParse(url) ? [] : [`--admin-url (${environmentVariableOf('admin-url')}) must be an HTTP URL`],
		...token ? [] : [`--admin-token (${environmentVariableOf('admin-token')}) is missing`],
	];
	if (url === undefined || token === undefined || missing.length > 0) {
		throw createCommandError(missing.join('\n'), exitCodes.wrongUsage);
	}

	return createAdminClient({url, token});
};

const addSettings = (parser: Argv, kind: SettingsKind): Argv => {
	let next = parser;
	for (const {flag, description, allowed, defaultValue} of describeSettings(kind)) {
		const fallback = defaultValue === undefined ? 'required' : `default ${JSON.stringify(defaultValue)}`;
		next = next.option(flag, {type: 'string', requiresArg: true, describe: `${description} (${allowed}; ${fallback})`});
	}

	return next;
};

const addDaemons = (parser: Argv, select: SelectCommand): Argv => parser
	.command('entry', 'Run the caller-facing daemon', command => addSettings(command, 'entry')
		.example('$0 entry --data-centre bergen-1 --region west-norway --platform-url http://10.0.0.2:7000 --admin-token SECRET', 'Serve callers on port 8080'), flags => {
		select(async context => runDaemon(context, 'entry', flags, context.start.entry));
	})
	.command('agent', 'Run the daemon beside an endpoint', command => addSettings(command, 'agent')
		.example('$0 agent --data-centre bergen-1 --platform-url http://10.0.0.2:7000 --endpoint engine-1 --endpoint-url http://127.0.0.1:9000 --endpoint-kind engine --serves restock', 'Serve one engine'), flags => {
		select(async context => runDaemon(context, 'agent', flags, context.start.agent));
	})
	.command('dev', 'Run everything on loopback with stand-ins and an example configuration', command => command
		.option('caller-port', {type: 'number', default: 8080, describe: 'Preferred port for callers; another is taken if it is in use'})
		.option('log-format', {choices: ['json', 'pretty'] as const, default: 'pretty' as const, describe: 'Form of the log lines'})
		.option('log-level', {choices: ['error', 'warn', 'info', 'debug'] as const, default: 'warn' as const, describe: 'Lowest level that is logged'})
		.example('$0 dev', 'Start, then paste the printed curl line into another shell'), ({callerPort, logFormat, logLevel}) => {
		select(async context => runDevelopment(context, {callerPort, logFormat, logLevel}));
	});

const addChanges = (parser: Argv, select: SelectCommand): Argv => parser
	.command('validate <file>', 'Check a change file as a whole without publishing it', command => command
		.positional('file', {type: 'string', demandOption: true, describe: 'Change file in YAML or JSON'})
		.options({...adminOptions, ...baseOption})
		.example('$0 validate change.yaml --base snapshot.yaml', 'Check against a file, without an entry'), flags => {
		select(async context => runValidate(context, {...flags, connect: () => connect(context, flags)}));
	})
	.command('apply <file>', 'Check and publish a change file', command => command
		.positional('file', {type: 'string', demandOption: true, describe: 'Change file in YAML or JSON'})
		.options(adminOptions)
		.example('$0 apply change.yaml --admin-url http://10.0.0.3:8082', 'Publish a change'), flags => {
		select(async context => runApply(context, {...flags, connect: () => connect(context, flags)}));
	})
	.command('diff <file>', 'Show what a change file would change', command => command
		.positional('file', {type: 'string', demandOption: true, describe: 'Change file in YAML or JSON'})
		.options({...adminOptions, ...baseOption})
		.example('$0 diff change.yaml', 'Compare with the configuration in force'), flags => {
		select(async context => runDiff(context, {...flags, connect: () => connect(context, flags)}));
	});

const addKeys = (parser: Argv, select: SelectCommand): Argv => parser
	.command('key', 'Issue and withdraw keys', group => group
		.command('issue <name>', 'Create a key, print it once and store its hash', command => command
			.positional('name', {type: 'string', demandOption: true, describe: 'Name of the new key'})
			.option('account', {
				type: 'string', demandOption: true, requiresArg: true, describe: 'Client account of the key',
			})
			.options(adminOptions)
			.example('$0 key issue desk-2 --account order-desk', 'Issue a second key'), flags => {
			select(async context => runKeyIssue(context, connect(context, flags), flags));
		})
		.command('withdraw <name>', 'Withdraw a key everywhere within seconds', command => command
			.positional('name', {type: 'string', demandOption: true, describe: 'Name of the key'})
			.options(adminOptions)
			.example('$0 key withdraw desk-1', 'Withdraw the first key'), flags => {
			select(async context => runKeyWithdraw(context, connect(context, flags), flags.name));
		})
		.demandCommand(1, 'name what to do: issue or withdraw')
		.example('$0 key issue desk-2 --account order-desk', 'Issue a second key'));

const addOthers = (parser: Argv, select: SelectCommand): Argv => parser
	.command('get [kind] [name]', 'Print configuration objects in force', command => command
		.positional('kind', {choices: objectKinds, describe: 'Kind of the objects; all when absent'})
		.positional('name', {type: 'string', describe: 'Name in any scheme; all of the kind when absent'})
		.options({...adminOptions, ...jsonOption})
		.example('$0 get route', 'Print all routes')
		.example('$0 get service SVC-RESTOCK --json', 'Print one service'), flags => {
		select(async context => runGet(context, connect(context, flags), {...flags, kind: flags.kind}));
	})
	.command('drain', 'Shut an entry down gracefully', command => command
		.options(adminOptions)
		.example('$0 drain --admin-url http://10.0.0.3:8082', 'Drain one entry'), flags => {
		select(async context => runDrain(context, connect(context, flags)));
	})
	.command('status', 'Print the status of an entry', command => command
		.options({...adminOptions, ...jsonOption})
		.example('$0 status --json', 'Print the status for a script'), flags => {
		select(async context => runStatus(context, connect(context, flags), flags.json));
	})
	.command('version', 'Print the version', command => command.example('$0 version', 'Print the version'), () => {
		select(async context => {
			context.print(packageVersion);
			return exitCodes.done;
		});
	});

/** Builds the parser. Flags that a command does not know are wrong usage. */
export const createParser = (select: SelectCommand): Argv => {
	let parser = yargs().scriptName('hawthorncleat').usage('$0 <command>');
	for (const add of [addDaemons, addChanges, addKeys, addOthers]) {
		parser = add(parser, select);
	}

	return parser
		.demandCommand(1, 'name a command')
		.strict()
		.version(false)
		.help()
		.wrap(null)
		.exitProcess(false)
		.epilogue('Exit codes: 0 done, 1 failed, 2 wrong usage or bad settings, 3 findings in a change, 4 conflict, 5 cannot be reached.');
};
