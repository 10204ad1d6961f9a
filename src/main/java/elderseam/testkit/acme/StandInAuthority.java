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
import elderseam.testkit.acme.RequestVerifier.SignedRequest;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A certificate authority for tests, after RFC 8555: accounts, orders, the http-01 challenge and certificates for names that
 * resolve to this machine. It keeps everything in memory; its root is trusted by nobody. It has no revocation, change of
 * keys, external accounts or other challenges.
 *
 * <p>Requests are handled on the thread of its {@link IoLoop}; the public methods may be called on any thread.
 */
public final class StandInAuthority {
    private static final int MAX_BODY_BYTES = 32 << 10;
    private static final int MAX_BODY_BYTES_IN_TRANSIT = 1 << 20;
    private static final int MAX_CONNECTIONS = 32;
    private static final int MAX_RESPONSE_BYTES = 1 << 10;
    private static final int MAX_KEPT = 1_000; // accounts, and authorizations
    private static final long MAX_IDLE_NS = 1_000 * Clock.MILLISECOND_NS;
    private static final long VALIDATION_TIMEOUT_NS = 10_000 * Clock.MILLISECOND_NS;
    private static final Duration DEFAULT_VALID_BEFORE = Duration.ofMinutes(1);
    private static final Duration DEFAULT_VALID_AFTER = Duration.ofDays(7);
    private static final String NUMBER = "\\d{1,6}";

    /** Names that resolve to this machine. */
    private static final String LOCAL_NAME = "localhost|([a-z0-9-]{1,63}\\.)+localhost";

    private final ObjectMapper json = new ObjectMapper();
    private final TokenSource tokens = new TokenSource();
    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private final HttpServer server;
    private final int challengePort;
    private final CertificateIssuer issuer;
    private volatile int ordered;
    private final AtomicInteger signed = new AtomicInteger();
    private final Map<String, AcmeAccount> accountsByUrl = new HashMap<>();
    private final RequestVerifier verifier = new RequestVerifier(json, tokens, accountsByUrl);
    private final List<AcmeAuthorization> authorizations = new ArrayList<>();
    private final List<AcmeOrder> orders = new ArrayList<>();

    /**
     * Listens; its certificates are valid for a week.
     *
     * @param challengePort the port of the ordered names at which challenges are looked for
     */
    public StandInAuthority(IoLoop io, InetSocketAddress address, int challengePort) throws IOException {
        this(io, address, challengePort, DEFAULT_VALID_BEFORE, DEFAULT_VALID_AFTER);
    }

    /**
     * Listens; its certificates are valid from {@code validBefore} they are signed until {@code validAfter}.
     *
     * @param challengePort the port of the ordered names at which challenges are looked for
     */
    public StandInAuthority(
            IoLoop io, InetSocketAddress address, int challengePort, Duration validBefore, Duration validAfter)
            throws IOException {
        this.io = io;
        this.challengePort = challengePort;
        this.issuer = new CertificateIssuer(validBefore, validAfter);
        this.connections = new EndpointConnectionPool(io, MAX_IDLE_NS, MAX_CONNECTIONS, MAX_RESPONSE_BYTES);
        this.server = new HttpServer(
                io, address, MAX_BODY_BYTES, MAX_CONNECTIONS, MAX_BODY_BYTES_IN_TRANSIT, null, this::handle);
    }

    /** The root certificate, which signs all others. */
    public X509Certificate root() {
        return issuer.root();
    }

    /** How many orders were placed. */
    public int ordered() {
        return ordered;
    }

    /** How many certificates it has signed. */
    public int signed() {
        return signed.get();
    }

    /** The URL of its directory (RFC 8555, section 7.1.1). */
    public String directory() {
        return url("/directory");
    }

    private String url(String path) {
        InetSocketAddress address = server.address();
        return "http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + path;
    }

    // ---------------------------------------------------------------- requests and answers

    private void handle(Request request, Answerer answerer) {
        try {
            route(request, answerer);
        } catch (AcmeProblem problem) {
            ObjectNode document =
                    json.createObjectNode().put("type", problem.typeUrn()).put("detail", problem.getMessage());
            answer(answerer, problem.statusCode(), "application/problem+json", Map.of(), document.toString());
        }
    }

    private void answer(Answerer answerer, int code, String contentType, Map<String, String> moreHeaders, String body) {
        Map<String, String> headers = new HashMap<>(moreHeaders);
        headers.put("Replay-Nonce", verifier.newNonce());
        headers.put("Cache-Control", "no-store");
        headers.put("Link", "<" + directory() + ">;rel=\"index\"");
        headers.put("Content-Type", contentType);
        answerer.answer(code, headers, body);
    }

    private void answer(Answerer answerer, int code, Map<String, String> moreHeaders, ObjectNode body) {
        answer(answerer, code, "application/json", moreHeaders, body.toString());
    }

    private void answerOk(Answerer answerer, ObjectNode body) {
        answer(answerer, HttpURLConnection.HTTP_OK, Map.of(), body);
    }

    private void route(Request request, Answerer answerer) throws AcmeProblem {
        String path = request.path();
        if (path.equals("/directory")) {
            answerOk(answerer, directoryDocument());
        } else if (path.equals("/new-nonce")) {
            int code = request.method().equals("HEAD") ? HttpURLConnection.HTTP_OK : HttpURLConnection.HTTP_NO_CONTENT;
            answer(answerer, code, "text/plain", Map.of(), "");
        } else if (request.method().equals("POST")) {
            routeSigned(path, verifier.verify(request, url(path), path.equals("/new-account")), answerer);
        } else {
            throw AcmeProblem.badMethod("only POST");
        }
    }

    private ObjectNode directoryDocument() {
        return json.createObjectNode()
                .put("newNonce", url("/new-nonce"))
                .put("newAccount", url("/new-account"))
                .put("newOrder", url("/new-order"));
    }

    private void routeSigned(String path, SignedRequest request, Answerer answerer) throws AcmeProblem {
        String[] parts = path.split("/"); // "", the kind of the resource, its number, what is done with it
        switch (parts[1]) {
            case "new-account" -> createAccount(request, answerer);
            case "new-order" -> createOrder(request, answerer);
            case "account" -> answerOk(answerer, accountDocument());
            case "authz" -> answerOk(answerer, document(findAuthorization(request, parts)));
            case "challenge" -> validate(findAuthorization(request, parts), request.account(), answerer);
            case "order" -> {
                AcmeOrder order = findOrder(request, parts);
                if (parts.length > 3 && parts[3].equals("finalize")) {
                    finalizeOrder(order, request.payload());
                }
                Map<String, String> location = Map.of("Location", url("/order/" + parts[2]));
                answer(answerer, HttpURLConnection.HTTP_OK, location, document(order));
            }
            case "cert" -> answerChain(findOrder(request, parts), answerer);
            default -> throw AcmeProblem.notFound("no such resource");
        }
    }

    private static int resourceNumber(String[] parts) throws AcmeProblem {
        if (parts.length < 3 || !parts[2].matches(NUMBER)) {
            throw AcmeProblem.notFound("no such resource");
        }
        return Integer.parseInt(parts[2]);
    }

    private static void checkRoom(int kept) throws AcmeProblem {
        if (kept >= MAX_KEPT) {
            throw AcmeProblem.rateLimited("this stand-in keeps no more");
        }
    }

    // ---------------------------------------------------------------- accounts

    private void createAccount(SignedRequest request, Answerer answerer) throws AcmeProblem {
        String url = url("/account/" + RequestVerifier.thumbprint(request.key()));
        boolean known = accountsByUrl.containsKey(url);
        if (!known && request.payload().path("onlyReturnExisting").asBoolean()) {
            throw AcmeProblem.badRequest("accountDoesNotExist", "no such account");
        }
        checkRoom(accountsByUrl.size());
        accountsByUrl.putIfAbsent(url, new AcmeAccount(url, request.key()));
        int code = known ? HttpURLConnection.HTTP_OK : HttpURLConnection.HTTP_CREATED;
        answer(answerer, code, Map.of("Location", url), accountDocument());
    }

    private ObjectNode accountDocument() {
        return json.createObjectNode().put("status", AcmeStatus.VALID.wireName());
    }

    // ---------------------------------------------------------------- orders

    private AcmeOrder findOrder(SignedRequest request, String[] parts) throws AcmeProblem {
        int number = resourceNumber(parts);
        if (number >= orders.size()
                || !orders.get(number).accountUrl().equals(request.account().url())) {
            throw AcmeProblem.forbidden("unauthorized", "no such order of this account");
        }
        return orders.get(number);
    }

    private void createOrder(SignedRequest request, Answerer answerer) throws AcmeProblem {
        checkRoom(authorizations.size());
        Set<String> names = orderedNames(request.payload());
        String accountUrl = request.account().url();
        List<AcmeAuthorization> needed = new ArrayList<>();
        for (String name : names) {
            AcmeAuthorization authorization =
                    new AcmeAuthorization(authorizations.size(), accountUrl, name, tokens.next());
            authorizations.add(authorization);
            needed.add(authorization);
        }
        AcmeOrder order = new AcmeOrder(orders.size(), accountUrl, names, needed);
        orders.add(order);
        ordered = orders.size();
        Map<String, String> location = Map.of("Location", url("/order/" + order.number()));
        answer(answerer, HttpURLConnection.HTTP_CREATED, location, document(order));
    }

    private static Set<String> orderedNames(JsonNode payload) throws AcmeProblem {
        Set<String> names = new LinkedHashSet<>();
        for (JsonNode identifier : payload.path("identifiers")) {
            if (!identifier.path("type").asText().equals("dns")) {
                throw AcmeProblem.badRequest("unsupportedIdentifier", "only dns");
            }
            String name = identifier.path("value").asText();
            if (!name.matches(LOCAL_NAME)) {
                throw AcmeProblem.badRequest("rejectedIdentifier", "only names under localhost");
            }
            names.add(name);
        }
        if (names.isEmpty()) {
            throw AcmeProblem.malformed("no identifiers");
        }
        return names;
    }

    private ObjectNode document(AcmeOrder order) {
        ObjectNode document = json.createObjectNode()
                .put("status", order.status().wireName())
                .put("finalize", url("/order/" + order.number() + "/finalize"));
        ArrayNode identifiers = document.putArray("identifiers");
        for (String name : order.dnsNames()) {
            identifiers.addObject().put("type", "dns").put("value", name);
        }
        ArrayNode authorizationUrls = document.putArray("authorizations");
        for (AcmeAuthorization authorization : order.authorizations()) {
            authorizationUrls.add(url("/authz/" + authorization.number()));
        }
        if (order.chainPem() != null) {
            document.put("certificate", url("/cert/" + order.number()));
        }
        return document;
    }

    private void finalizeOrder(AcmeOrder order, JsonNode payload) throws AcmeProblem {
        if (order.status() != AcmeStatus.READY) {
            throw AcmeProblem.forbidden(
                    "orderNotReady", "the order is " + order.status().wireName());
        }
        order.complete(issuer.issue(payload.path("csr").asText(), order.dnsNames()));
        signed.incrementAndGet();
    }

    private void answerChain(AcmeOrder order, Answerer answerer) throws AcmeProblem {
        if (order.chainPem() == null) {
            throw AcmeProblem.notFound("no certificate yet");
        }
        answer(answerer, HttpURLConnection.HTTP_OK, "application/pem-certificate-chain", Map.of(), order.chainPem());
    }

    // ---------------------------------------------------------------- authorizations

    private AcmeAuthorization findAuthorization(SignedRequest request, String[] parts) throws AcmeProblem {
        int number = resourceNumber(parts);
        if (number >= authorizations.size()
                || !authorizations
                        .get(number)
                        .accountUrl()
                        .equals(request.account().url())) {
            throw AcmeProblem.forbidden("unauthorized", "no such authorization of this account");
        }
        return authorizations.get(number);
    }

    private ObjectNode document(AcmeAuthorization authorization) {
        ObjectNode document =
                json.createObjectNode().put("status", authorization.status().wireName());
        document.putObject("identifier").put("type", "dns").put("value", authorization.dnsName());
        document.putArray("challenges").add(challengeDocument(authorization));
        return document;
    }

    private ObjectNode challengeDocument(AcmeAuthorization authorization) {
        return json.createObjectNode()
                .put("type", "http-01")
                .put("url", url("/challenge/" + authorization.number()))
                .put("token", authorization.token())
                .put("status", authorization.status().wireName());
    }

    /** Looks for the key authorization where every ordered name points to: on this machine (RFC 8555, section 8.3). */
    private void validate(AcmeAuthorization authorization, AcmeAccount account, Answerer answerer) throws AcmeProblem {
        String expected = authorization.token() + "." + RequestVerifier.thumbprint(account.key());
        if (authorization.status() == AcmeStatus.PENDING) {
            long deadlineNs = io.clock.now() + VALIDATION_TIMEOUT_NS;
            connections.send(
                    new EndpointAddress("localhost", "127.0.0.1:" + challengePort),
                    HttpRequest.get("/.well-known/acme-challenge/" + authorization.token()),
                    deadlineNs,
                    deadlineNs,
                    result -> authorization.decide(isProof(result, expected)));
        }
        Map<String, String> parent = Map.of("Link", "<" + url("/authz/" + authorization.number()) + ">;rel=\"up\"");
        answer(answerer, HttpURLConnection.HTTP_OK, parent, challengeDocument(authorization));
    }

    private static boolean isProof(HttpResult result, String expected) {
        return result.answered()
                && result.code() == HttpURLConnection.HTTP_OK
                && new String(result.body(), StandardCharsets.UTF_8).strip().equals(expected);
    }
}
