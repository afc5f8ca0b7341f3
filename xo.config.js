/**
 * Linter and formatter settings: XO's own rules, less the few that the house
 * style goes before (see docs/style.md for each reason).
 */
const config = [
	{ignores: ['**/dist/**', '**/gen/**', '**/node_modules/**', 'out/**']},
	{
		rules: {
			// The house style asks for `req`, `res`, `cfg`, `err`.
			'unicorn/prevent-abbreviations': 'off',
			// One loop on one thread: steps that must follow each other do.
			'no-await-in-loop': 'off',
			// Factories take their collaborators by name; null is what JSON and SQL say.
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			// Header names, proto fields and API fields keep their wire form.
			'@typescript-eslint/naming-convention': 'off',
			camelcase: 'off',
			// An error's code is a literal field; a getter would say no more.
			'@typescript-eslint/class-literal-property-style': 'off',
			// A lookup table of handlers needs one assertion where it is called.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Wire fields come as the engines' API spells them.
			'new-cap': 'off',
			// The daemon's entry point ends the process on purpose, with a code.
			'unicorn/no-process-exit': 'off',
			'unicorn/prefer-top-level-await': 'off',
		},
	},
	{
		files: ['**/test/**'],
		rules: {
			'max-nested-callbacks': 'off',
			'@typescript-eslint/no-unused-expressions': 'off',
			'@typescript-eslint/strict-void-return': 'off',
			// Test libraries are listed once, at the root.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
