package elderseam.testkit.acme;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import elderseam.core.Clock;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequest;
import elderseam.http.HttpResult;
import elderseam.http.HttpServer;
import elderseam.http.HttpServer.Answerer;
import elderseam.http.HttpServer.Request;
import elderseam.http.IoLoop;
import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.SecureRandom;
import java.security.Security;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Date;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.Extensions;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.jce.provider.BouncyCastleProvider;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.bouncycastle.pkcs.PKCS10CertificationRequest;
import org.bouncycastle.pkcs.jcajce.JcaPKCS10CertificationRequest;
import org.jose4j.jwk.PublicJsonWebKey;
import org.jose4j.jws.JsonWebSignature;
import org.jose4j.lang.JoseException;
import org.shredzone.acme4j.util.CertificateUtils;
import org.shredzone.acme4j.util.KeyPairUtils;

/**
 * A stand-in certificate authority for rehearsals, after RFC 8555: accounts, orders, the http-01 challenge and
 * certificates for names that resolve to this machine. It keeps everything in memory; its root is trusted by nobody.
 * Not there: revocation, change of keys, external accounts, other challenges.
 */
public final class StandInAuthority {
    static {
        Security.addProvider(new BouncyCastleProvider()); // acme4j's helpers ask for it by name
    }

    private static final String ERROR = "urn:ietf:params:acme:error:";
    private static final int MOST_BODY = 32 << 10;
    private static final int MOST_CONNECTIONS = 32;
    private static final int MOST_NONCES = 1_000;
    private static final int MOST_KEPT = 1_000;
    private static final long VALIDATE_NS = 3_000 * Clock.MILLISECOND_NS;

    private record Account(String url, PublicJsonWebKey key) {}

    private static final class Authorization {
        String name;
        String token;
        String account;
        String status = "pending";
    }

    private static final class Order {
        String account;
        String status = "pending";
        String chain;
        final List<Integer> authorizations = new ArrayList<>();
        final Set<String> names = new LinkedHashSet<>();
    }

    /** What is wrong with a request, in RFC 8555's terms. */
    private static final class Problem extends Exception {
        private static final long serialVersionUID = 1L;
        final int code;
        final String type;

        Problem(int code, String type, String detail) {
            super(detail);
            this.code = code;
            this.type = type;
        }
    }

    /** A verified request: who sent it and what. */
    private record Signed(Account account, PublicJsonWebKey key, JsonNode payload) {}

    private final ObjectMapper json = new ObjectMapper();
    private final SecureRandom random = new SecureRandom();
    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private final HttpServer server;
    private final int challengePort;
    private final Duration before;
    private final Duration after;
    private volatile int ordered;
    private final AtomicInteger signed = new AtomicInteger();
    private final KeyPair rootKey = KeyPairUtils.createKeyPair(2048);
    private final X509Certificate root = CertificateUtils.createTestRootCertificate(
            "CN=elderseam rehearsal root",
            Instant.now().minus(1, ChronoUnit.DAYS),
            Instant.now().plus(365, ChronoUnit.DAYS),
            rootKey);
    private final Set<String> nonces = new LinkedHashSet<>();
    private final Map<String, Account> accounts = new HashMap<>();
    private final List<Authorization> authorizations = new ArrayList<>();
    private final List<Order> orders = new ArrayList<>();

    /** Listens at that address; challenges are looked for at that port of the names ordered; what it signs holds for a week. */
    public StandInAuthority(IoLoop io, InetSocketAddress address, int challengePort) throws IOException {
        this(io, address, challengePort, Duration.ofMinutes(1), Duration.ofDays(7));
    }

    /** What it signs holds from {@code before} it is signed until {@code after}. */
    public StandInAuthority(IoLoop io, InetSocketAddress address, int challengePort, Duration before, Duration after)
            throws IOException {
        this.io = io;
        this.before = before;
        this.after = after;
        this.challengePort = challengePort;
        this.connections = new EndpointConnectionPool(io, 1_000 * Clock.MILLISECOND_NS, MOST_CONNECTIONS, 1 << 10);
        this.server = new HttpServer(io, address, MOST_BODY, MOST_CONNECTIONS, 1 << 20, null, this::handle);
    }

    public X509Certificate root() {
        return root;
    }

    /** How many orders were placed; any thread may ask. */
    public int ordered() {
        return ordered;
    }

    /** How many certificates it has signed. */
    public int signed() {
        return signed.get();
    }

    public String directory() {
        return url("/directory");
    }

    private String url(String path) {
        InetSocketAddress at = server.address();
        return "http://" + at.getAddress().getHostAddress() + ":" + at.getPort() + path;
    }

    private void handle(Request r, Answerer to) {
        try {
            route(r, to);
        } catch (Problem p) {
            ObjectNode node =
                    json.createObjectNode().put("type", ERROR + p.type).put("detail", p.getMessage());
            answer(to, p.code, "application/problem+json", Map.of(), node.toString());
        }
    }

    private void answer(Answerer to, int code, String type, Map<String, String> more, String body) {
        Map<String, String> headers = new HashMap<>(more);
        headers.put("Replay-Nonce", nonce());
        headers.put("Cache-Control", "no-store");
        headers.put("Link", "<" + directory() + ">;rel=\"index\"");
        headers.put("Content-Type", type);
        to.answer(code, headers, body);
    }

    private void answer(Answerer to, int code, Map<String, String> more, ObjectNode body) {
        answer(to, code, "application/json", more, body.toString());
    }

    private String nonce() {
        String nonce = token();
        nonces.add(nonce);
        if (nonces.size() > MOST_NONCES) {
            nonces.remove(nonces.iterator().next());
        }
        return nonce;
    }

    private String token() {
        byte[] bytes = new byte[16];
        random.nextBytes(bytes);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private void route(Request r, Answerer to) throws Problem {
        String path = r.path();
        if (path.equals("/directory")) {
            answer(
                    to,
                    200,
                    Map.of(),
                    json.createObjectNode()
                            .put("newNonce", url("/new-nonce"))
                            .put("newAccount", url("/new-account"))
                            .put("newOrder", url("/new-order")));
            return;
        }
        if (path.equals("/new-nonce")) {
            answer(to, r.method().equals("HEAD") ? 200 : 204, "text/plain", Map.of(), "");
            return;
        }
        if (!r.method().equals("POST")) {
            throw new Problem(405, "malformed", "only POST");
        }
        Signed s = verify(r, path.equals("/new-account"));
        String[] part = path.split("/");
        switch (part[1]) {
            case "new-account" -> account(s, to);
            case "new-order" -> order(s, to);
            case "account" -> answer(to, 200, Map.of(), json.createObjectNode().put("status", "valid"));
            case "authz" -> answer(to, 200, Map.of(), node(index(part), own(s, part)));
            case "challenge" -> challenge(index(part), own(s, part), s.account, to);
            case "order" -> {
                Order o = order(s, part);
                if (part.length > 3 && part[3].equals("finalize")) {
                    finish(o, s.payload);
                }
                answer(to, 200, Map.of("Location", url("/order/" + part[2])), node(index(part), o));
            }
            case "cert" -> {
                Order o = order(s, part);
                if (o.chain == null) {
                    throw new Problem(404, "malformed", "no certificate yet");
                }
                answer(to, 200, "application/pem-certificate-chain", Map.of(), o.chain);
            }
            default -> throw new Problem(404, "malformed", "no such resource");
        }
    }

    private static int index(String[] part) throws Problem {
        if (part.length < 3 || !part[2].matches("\\d{1,6}")) {
            throw new Problem(404, "malformed", "no such resource");
        }
        return Integer.parseInt(part[2]);
    }

    private Authorization own(Signed s, String[] part) throws Problem {
        int i = index(part);
        if (i >= authorizations.size() || !authorizations.get(i).account.equals(s.account.url)) {
            throw new Problem(403, "unauthorized", "no such authorization of this account");
        }
        return authorizations.get(i);
    }

    private Order order(Signed s, String[] part) throws Problem {
        int i = index(part);
        if (i >= orders.size() || !orders.get(i).account.equals(s.account.url)) {
            throw new Problem(403, "unauthorized", "no such order of this account");
        }
        return orders.get(i);
    }

    /** RFC 8555, 6.2 to 6.5: the signature, the url, the nonce (good for once), and by whom. */
    private Signed verify(Request r, boolean fresh) throws Problem {
        try {
            JsonNode jws = json.readTree(r.body());
            String head = jws.path("protected").asText();
            JsonNode header = json.readTree(Base64.getUrlDecoder().decode(head));
            if (!nonces.remove(header.path("nonce").asText())) {
                throw new Problem(400, "badNonce", "nonce unknown or used");
            }
            if (!header.path("url").asText().equals(url(r.path()))) {
                throw new Problem(400, "malformed", "url is not this one");
            }
            if (header.has("jwk") == header.has("kid") || header.has("jwk") != fresh) {
                throw new Problem(400, "malformed", fresh ? "jwk is needed" : "kid is needed");
            }
            Account account = fresh ? null : accounts.get(header.path("kid").asText());
            if (account == null && !fresh) {
                throw new Problem(400, "accountDoesNotExist", "no such account");
            }
            PublicJsonWebKey key = fresh
                    ? PublicJsonWebKey.Factory.newPublicJwk(header.get("jwk").toString())
                    : account.key;
            JsonWebSignature signature = new JsonWebSignature();
            signature.setCompactSerialization(head + "." + jws.path("payload").asText() + "."
                    + jws.path("signature").asText());
            signature.setKey(key.getPublicKey());
            if (!signature.verifySignature()) {
                throw new Problem(400, "malformed", "the signature does not fit");
            }
            String payload = signature.getPayload();
            return new Signed(account, key, payload.isEmpty() ? json.createObjectNode() : json.readTree(payload));
        } catch (IOException | JoseException | IllegalArgumentException e) {
            throw new Problem(400, "malformed", "not a signed request");
        }
    }

    private void account(Signed s, Answerer to) throws Problem {
        String url = url("/account/" + thumbprint(s.key));
        boolean known = accounts.containsKey(url);
        if (!known && s.payload.path("onlyReturnExisting").asBoolean()) {
            throw new Problem(400, "accountDoesNotExist", "no such account");
        }
        full(accounts.size());
        accounts.putIfAbsent(url, new Account(url, s.key));
        answer(
                to,
                known ? 200 : 201,
                Map.of("Location", url),
                json.createObjectNode().put("status", "valid"));
    }

    private static void full(int kept) throws Problem {
        if (kept >= MOST_KEPT) {
            throw new Problem(429, "rateLimited", "this stand-in keeps no more");
        }
    }

    private static String thumbprint(PublicJsonWebKey key) throws Problem {
        try {
            return key.calculateBase64urlEncodedThumbprint("SHA-256");
        } catch (RuntimeException e) {
            throw new Problem(400, "badPublicKey", "no usable key");
        }
    }

    private void order(Signed s, Answerer to) throws Problem {
        full(authorizations.size());
        Order o = new Order();
        o.account = s.account.url;
        for (JsonNode id : s.payload.path("identifiers")) {
            if (!id.path("type").asText().equals("dns")) {
                throw new Problem(400, "unsupportedIdentifier", "only dns");
            }
            String name = id.path("value").asText();
            if (!name.matches("localhost|([a-z0-9-]{1,63}\\.)+localhost")) { // nothing off this machine
                throw new Problem(400, "rejectedIdentifier", "only names under localhost");
            }
            o.names.add(name);
        }
        if (o.names.isEmpty()) {
            throw new Problem(400, "malformed", "no identifiers");
        }
        for (String name : o.names) {
            Authorization a = new Authorization();
            a.name = name;
            a.token = token();
            a.account = o.account;
            o.authorizations.add(authorizations.size());
            authorizations.add(a);
        }
        orders.add(o);
        ordered = orders.size();
        int i = orders.size() - 1;
        answer(to, 201, Map.of("Location", url("/order/" + i)), node(i, o));
    }

    private ObjectNode node(int i, Order o) {
        if (o.status.equals("pending")) {
            Set<String> states = new HashSet<>();
            o.authorizations.forEach(a -> states.add(authorizations.get(a).status));
            o.status = states.contains("invalid") ? "invalid" : states.contains("pending") ? "pending" : "ready";
        }
        ObjectNode n =
                json.createObjectNode().put("status", o.status).put("finalize", url("/order/" + i + "/finalize"));
        ArrayNode names = n.putArray("identifiers");
        o.names.forEach(name -> names.addObject().put("type", "dns").put("value", name));
        ArrayNode urls = n.putArray("authorizations");
        o.authorizations.forEach(a -> urls.add(url("/authz/" + a)));
        if (o.chain != null) {
            n.put("certificate", url("/cert/" + i));
        }
        return n;
    }

    private ObjectNode node(int i, Authorization a) {
        ObjectNode n = json.createObjectNode().put("status", a.status);
        n.putObject("identifier").put("type", "dns").put("value", a.name);
        n.putArray("challenges").add(challenge(i, a));
        return n;
    }

    private ObjectNode challenge(int i, Authorization a) {
        return json.createObjectNode()
                .put("type", "http-01")
                .put("url", url("/challenge/" + i))
                .put("token", a.token)
                .put("status", a.status);
    }

    /** Looks for the key authorization where the name points to: on this machine. */
    private void challenge(int i, Authorization a, Account account, Answerer to) throws Problem {
        String expected = a.token + "." + thumbprint(account.key);
        if (a.status.equals("pending")) {
            long by = io.clock.now() + VALIDATE_NS;
            EndpointAddress named = new EndpointAddress("localhost", "127.0.0.1:" + challengePort);
            connections.send(
                    named,
                    HttpRequest.get("/.well-known/acme-challenge/" + a.token),
                    by,
                    by,
                    reply -> a.status = proves(reply, expected) ? "valid" : "invalid");
        }
        answer(to, 200, Map.of("Link", "<" + url("/authz/" + i) + ">;rel=\"up\""), challenge(i, a));
    }

    private static boolean proves(HttpResult reply, String expected) {
        return reply.answered()
                && reply.code() == 200
                && new String(reply.body(), StandardCharsets.UTF_8).strip().equals(expected);
    }

    private void finish(Order o, JsonNode payload) throws Problem {
        node(0, o);
        if (!o.status.equals("ready")) {
            throw new Problem(403, "orderNotReady", "the order is " + o.status);
        }
        try {
            PKCS10CertificationRequest csr = new PKCS10CertificationRequest(
                    Base64.getUrlDecoder().decode(payload.path("csr").asText()));
            Extensions wanted = csr.getRequestedExtensions();
            GeneralNames san =
                    wanted == null ? null : GeneralNames.fromExtensions(wanted, Extension.subjectAlternativeName);
            Set<String> names = new HashSet<>();
            for (GeneralName name : san == null ? new GeneralName[0] : san.getNames()) {
                names.add(name.getName().toString());
            }
            if (!names.equals(o.names)) {
                throw new Problem(400, "badCSR", "names " + names + " are not those of the order");
            }
            X509Certificate c = certify(csr, san);
            StringWriter pem = new StringWriter();
            try (JcaPEMWriter out = new JcaPEMWriter(pem)) {
                out.writeObject(c);
                out.writeObject(root);
            }
            o.chain = pem.toString();
            o.status = "valid";
            signed.incrementAndGet();
        } catch (IOException | GeneralSecurityException | IllegalArgumentException e) {
            throw new Problem(400, "badCSR", "no usable certificate request: " + e.getMessage());
        }
    }

    private X509Certificate certify(PKCS10CertificationRequest csr, GeneralNames names)
            throws IOException, GeneralSecurityException {
        Instant now = Instant.now();
        try {
            return new JcaX509CertificateConverter()
                    .getCertificate(new JcaX509v3CertificateBuilder(
                                    root,
                                    new BigInteger(64, random),
                                    Date.from(now.minus(before)),
                                    Date.from(now.plus(after)),
                                    csr.getSubject(),
                                    new JcaPKCS10CertificationRequest(csr).getPublicKey())
                            .addExtension(
                                    Extension.subjectAlternativeName,
                                    csr.getSubject().getRDNs().length == 0,
                                    names)
                            .build(new JcaContentSignerBuilder("SHA256withRSA").build(rootKey.getPrivate())));
        } catch (OperatorCreationException e) {
            throw new GeneralSecurityException(e);
        }
    }
}
