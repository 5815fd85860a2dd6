import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {formatSettingFinding, readSettings, environmentVariableOf} from '../settings.js';

const needed = {
	'data-centre': 'bergen-1', region: 'west', 'platform-url': 'http://127.0.0.1:1', 'admin-token': 'long-enough',
};

describe('readSettings', () => {
	it('prefers a flag to a variable and a variable to the default; guards against a wrong precedence', () => {
		const env = {[environmentVariableOf('caller-port')]: '1', [environmentVariableOf('admin-port')]: '2', [environmentVariableOf('address')]: ''};
		const result = readSettings('entry', {flags: {...needed, 'caller-port': '3'}, env});
		assert.ok(result.ok);
		const {callerPort, adminPort, internalPort, address} = result.settings;
		assert.equal([callerPort, adminPort, internalPort, address], [3, 2, 8081, '127.0.0.1']);
	});

	it('reports all invalid and missing settings together without secrets; guards against one restart per finding', () => {
		const flags = {'caller-port': '70000', 'admin-token': 'short', 'log-format': 'xml'};
		const env = {[environmentVariableOf('head-poll-ms')]: '1.5s'};
		const result = readSettings('entry', {flags, env});
		assert.ok(!result.ok);
		assert.equal(result.findings.map(finding => formatSettingFinding(finding)), [
			'--data-centre (HAWTHORNCLEAT_DATA_CENTRE) is missing; allowed: text that matches /^.+$/',
			'--region (HAWTHORNCLEAT_REGION) is missing; allowed: text that matches /^.+$/',
			'--platform-url (HAWTHORNCLEAT_PLATFORM_URL) is missing; allowed: text that matches /^https?:///',
			'--caller-port (HAWTHORNCLEAT_CALLER_PORT) "70000" must be <= 65535; allowed: an integer from 0 to 65535',
			'--admin-token (HAWTHORNCLEAT_ADMIN_TOKEN) "(hidden)" must match pattern "^.{8,}$"; allowed: text that matches /^.{8,}$/',
			'--log-format (HAWTHORNCLEAT_LOG_FORMAT) "xml" must be equal to one of the allowed values: ["json","pretty"]; allowed: one of json, pretty',
			'--head-poll-ms (HAWTHORNCLEAT_HEAD_POLL_MS) "1.5s" must be integer; allowed: an integer from 100 to 2000',
		]);
	});
});
