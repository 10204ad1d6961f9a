package elderseam.testkit.acme;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.http.HttpServer.Request;
import java.io.IOException;
import java.util.Base64;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.jose4j.jwk.PublicJsonWebKey;
import org.jose4j.jws.JsonWebSignature;
import org.jose4j.lang.JoseException;

/** Verifies signed requests (RFC 8555, sections 6.2 to 6.5), and keeps the nonces that they may use. Not thread-safe. */
final class RequestVerifier {
    private static final int MAX_NONCES = 1_000;

    /**
     * A request that was verified.
     *
     * @param account who sent it; null where it asks for an account
     * @param key by which it is signed
     * @param payload an empty object where the request has none
     */
    record SignedRequest(AcmeAccount account, PublicJsonWebKey key, JsonNode payload) {}

    private final ObjectMapper json;
    private final TokenSource tokens;
    private final Map<String, AcmeAccount> accountsByUrl;
    private final Set<String> unusedNonces = new LinkedHashSet<>(); // the oldest first

    /** {@code accountsByUrl}: the accounts, which the caller goes on adding to. */
    RequestVerifier(ObjectMapper json, TokenSource tokens, Map<String, AcmeAccount> accountsByUrl) {
        this.json = json;
        this.tokens = tokens;
        this.accountsByUrl = accountsByUrl;
    }

    /** A new nonce, which one request may use; the oldest unused one expires where there are too many. */
    String newNonce() {
        String nonce = tokens.next();
        unusedNonces.add(nonce);
        if (unusedNonces.size() > MAX_NONCES) {
            unusedNonces.remove(unusedNonces.iterator().next());
        }
        return nonce;
    }

    /**
     * Verifies a request.
     *
     * @param url the URL of the resource that it was sent to
     * @param newAccount whether it has to be signed by a key of its own, not by an account's
     */
    SignedRequest verify(Request request, String url, boolean newAccount) throws AcmeProblem {
        try {
            JsonNode jws = json.readTree(request.body());
            String protectedHeader = jws.path("protected").asText();
            JsonNode header = json.readTree(Base64.getUrlDecoder().decode(protectedHeader));
            checkHeader(header, url, newAccount);
            AcmeAccount account = newAccount ? null : account(header);
            PublicJsonWebKey key = newAccount
                    ? PublicJsonWebKey.Factory.newPublicJwk(header.get("jwk").toString())
                    : account.key();
            String payload = verifiedPayload(jws, protectedHeader, key);
            return new SignedRequest(
                    account, key, payload.isEmpty() ? json.createObjectNode() : json.readTree(payload));
        } catch (IOException | JoseException | IllegalArgumentException e) {
            throw AcmeProblem.malformed("not a signed request");
        }
    }

    private void checkHeader(JsonNode header, String url, boolean newAccount) throws AcmeProblem {
        if (!unusedNonces.remove(header.path("nonce").asText())) {
            throw AcmeProblem.badRequest("badNonce", "nonce unknown or used");
        }
        if (!header.path("url").asText().equals(url)) {
            throw AcmeProblem.malformed("url is not this one");
        }
        boolean hasKey = header.has("jwk");
        if (hasKey == header.has("kid") || hasKey != newAccount) {
            throw AcmeProblem.malformed(newAccount ? "jwk is needed" : "kid is needed");
        }
    }

    private AcmeAccount account(JsonNode header) throws AcmeProblem {
        AcmeAccount account = accountsByUrl.get(header.path("kid").asText());
        if (account == null) {
            throw AcmeProblem.badRequest("accountDoesNotExist", "no such account");
        }
        return account;
    }

    private static String verifiedPayload(JsonNode jws, String protectedHeader, PublicJsonWebKey key)
            throws JoseException, AcmeProblem {
        JsonWebSignature signature = new JsonWebSignature();
        signature.setCompactSerialization(protectedHeader
                + "." + jws.path("payload").asText()
                + "." + jws.path("signature").asText());
        signature.setKey(key.getPublicKey());
        if (!signature.verifySignature()) {
            throw AcmeProblem.malformed("the signature does not fit");
        }
        return signature.getPayload();
    }

    /** A key's thumbprint (RFC 7638) by SHA-256, in base64url. */
    static String thumbprint(PublicJsonWebKey key) throws AcmeProblem {
        try {
            return key.calculateBase64urlEncodedThumbprint("SHA-256");
        } catch (RuntimeException e) { // what the library throws for a key that lacks a parameter is not documented
            throw AcmeProblem.badRequest("badPublicKey", "no usable key");
        }
    }
}
