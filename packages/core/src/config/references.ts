/**
 * The references that configuration objects hold to one another.
 */
import type {ConfigObject, ObjectKind} from '@hawthorncleat/schema';

/** One reference with its place in the object that holds it. */
export type Reference = {readonly field: string; readonly value: string; readonly kind: ObjectKind};

const listReferences = (field: string, kind: ObjectKind, values: readonly string[] = []): Reference[] =>
	values.map((value, index) => ({field: `${field}/${index}`, value, kind}));

/** Every reference of an object with the kind that it must lead to. */
export const referencesOf = (object: ConfigObject): Reference[] => {
	switch (object.kind) {
		case 'key': {
			return [{field: 'account', value: object.account, kind: 'client-account'}];
		}

		case 'service': {
			const {modelVersion} = object;
			const places = listReferences('places', 'place', object.places);
			return modelVersion === undefined
				? places
				: [{field: 'modelVersion', value: modelVersion, kind: 'model-version'}, ...places];
		}

		case 'route': {
			return [
				{field: 'service', value: object.service, kind: 'service'},
				...listReferences('accounts', 'client-account', object.accounts),
			];
		}

		case 'client-account':
		case 'model-version':
		case 'place': {
			return [];
		}
	}
};
