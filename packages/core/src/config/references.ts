/**
 * Lists the references from configuration objects to one another.
 */
import type {ConfigObject, ObjectKind} from '@hawthorncleat/schema';

/** A reference: the field that contains it, the name that it refers to, and the kind of the referenced object. */
export type Reference = {readonly field: string; readonly value: string; readonly kind: ObjectKind};

const listReferences = (field: string, kind: ObjectKind, values: readonly string[] = []): Reference[] =>
	values.map((value, index) => ({field: `${field}/${index}`, value, kind}));

/** Returns all references of an object. */
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
