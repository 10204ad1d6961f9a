package elderseam.testkit.acme;

import org.jose4j.jwk.PublicJsonWebKey;

/**
 * An account.
 *
 * @param url its URL, which requests name as their key id
 * @param key its public key
 */
record AcmeAccount(String url, PublicJsonWebKey key) {}
