const allowedNames = {
	req: true,
	res: true,
	cfg: true,
	err: true,
	args: true,
	env: true,
	dev: true,
	params: true,
	ref: true,
	fn: true,
};

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/generated/**', '**/dist/**', 'node_modules/**']},
	{
		files: ['**/*.ts'],
		languageOptions: {
			parserOptions: {projectService: false, project: './tsconfig.json', tsconfigRootDir: import.meta.dirname},
		},
	},
	{
		rules: {
			'unicorn/prevent-abbreviations': ['error', {allowList: allowedNames}],
			// JSON messages and the table use null for an absent value.
			'unicorn/no-null': 'off',
			// Parsed JSON is asserted after a generated validator has checked it.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Polling loops and ordered writes wait for each step on purpose.
			'no-await-in-loop': 'off',
			// Its fixer and that of object-curly-newline undo each other and corrupt the file.
			'@stylistic/curly-newline': 'off',
			// As XO has it, but method and header names of the protocols may be quoted keys, and error classes constants.
			'@typescript-eslint/naming-convention': [
				'error',
				{selector: 'variableLike', format: ['strictCamelCase'], leadingUnderscore: 'allow'},
				{selector: 'variable', modifiers: ['const', 'global'], format: ['strictCamelCase', 'StrictPascalCase']},
				{selector: 'memberLike', format: ['strictCamelCase'], leadingUnderscore: 'allow'},
				{selector: 'memberLike', modifiers: ['requiresQuotes'], format: null},
				{selector: 'typeLike', format: ['StrictPascalCase']},
			],
			// Packages that have no code yet.
			'unicorn/no-empty-file': 'off',
			// The compiler's target predates the v flag.
			'require-unicode-regexp': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['**/__tests__/**'],
		rules: {
			// Nested describe blocks and a callback that owns the abort signal already make four levels.
			'max-nested-callbacks': 'off',
		},
	},
];

export default config;
