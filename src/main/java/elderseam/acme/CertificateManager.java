package elderseam.acme;

import static elderseam.logging.LogField.error;

import elderseam.http.HttpServer.Answerer;
import elderseam.http.HttpServer.Request;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.io.Reader;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyStore;
import java.security.Security;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import org.bouncycastle.jce.provider.BouncyCastleProvider;
import org.shredzone.acme4j.Account;
import org.shredzone.acme4j.AccountBuilder;
import org.shredzone.acme4j.Authorization;
import org.shredzone.acme4j.Order;
import org.shredzone.acme4j.Session;
import org.shredzone.acme4j.Status;
import org.shredzone.acme4j.challenge.Http01Challenge;
import org.shredzone.acme4j.exception.AcmeException;
import org.shredzone.acme4j.util.KeyPairUtils;

/**
 * The certificate of the CloudEvents listener, from an ACME authority (RFC 8555, http-01). Key and chain are kept in a
 * folder, used again at the next start, and renewed when a third of their time is left. Its work blocks, so it has
 * a thread of its own; what it shares with other threads is the answers to challenges and the context it hands over.
 *
 * <p>With a {@link SharedCertificateOrder} one member of a fleet orders for all. Until that one's certificate comes, the others serve by the
 * one that they have, or not at all; half of the margin before theirs ends each orders for itself.
 */
public final class CertificateManager {
    private static final EventLogger LOG = EventLogger.of(CertificateManager.class);

    static {
        Security.addProvider(new BouncyCastleProvider()); // acme4j's helpers ask for it by name
    }

    private static final Duration ORDER = Duration.ofSeconds(60),
            AGAIN = Duration.ofSeconds(30),
            LOOK = Duration.ofSeconds(1),
            FIRST = Duration.ofMinutes(3); // while another orders; for the very first one

    private final String directory;
    private final List<String> names;
    private final Path folder;
    private final Consumer<SSLContext> renewed;
    private final SharedCertificateOrder sharing; // null where each orders for itself
    private final Instant began = Instant.now();
    private final Map<String, String> challenges = new ConcurrentHashMap<>();
    private volatile Map<String, String> others = Map.of(); // challenges of the member that orders
    private byte[] heard; // what another passed on and was not looked at yet; this and the next two of its own thread
    private byte[] passed = {}; // the last bundle that this member passed on or took over
    private boolean told; // of a first context
    private ScheduledFuture<?> next;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "certificates");
        t.setDaemon(true);
        return t;
    });

    /** {@code renewed} is told of the first context and of each later one, on this class's own thread. */
    public CertificateManager(String directory, List<String> names, Path folder, Consumer<SSLContext> renewed) {
        this(directory, names, folder, renewed, null);
    }

    /** {@code sharing}: with a fleet, or null. */
    public CertificateManager(
            String directory,
            List<String> names,
            Path folder,
            Consumer<SSLContext> renewed,
            SharedCertificateOrder sharing) {
        this.directory = directory;
        this.names = names;
        this.folder = folder;
        this.renewed = renewed;
        this.sharing = sharing;
    }

    public void start() {
        thread.execute(this::keep);
    }

    /** What the member that orders has passed on: answers to the authority's looks, and a bundle, or null. Any thread. */
    public void heard(Map<String, String> answers, byte[] bundle) {
        others = answers;
        if (bundle != null) {
            thread.execute(() -> {
                heard = bundle;
                if (next != null && next.cancel(false)) { // else it looks soon
                    keep();
                }
            });
        }
    }

    /** Answers the authority's look at {@code /.well-known/acme-challenge/TOKEN}. */
    public void challenge(Request r, Answerer to) {
        String authorization = answer(r.path());
        to.answer(
                authorization == null ? 404 : 200,
                Map.of("Content-Type", "application/octet-stream"),
                authorization == null ? "" : authorization);
    }

    /** Whether there is an answer to a look at that path. */
    public boolean proves(String path) {
        return answer(path) != null;
    }

    private String answer(String path) {
        String token = path.replaceFirst("^/\\.well-known/acme-challenge/", "");
        return challenges.getOrDefault(token, others.get(token));
    }

    private void keep() {
        Instant at = Instant.now().plus(AGAIN);
        try {
            boolean fresh = takeOver();
            List<X509Certificate> chain = stored();
            Instant now = Instant.now(), dueAt = chain.isEmpty() ? began : renewAt(chain.get(0));
            if (!now.isBefore(dueAt) && mine(now, dueAt, chain)) {
                order(Instant.now().plus(ORDER));
                chain = stored();
                fresh = true;
            }
            if (!chain.isEmpty() && (fresh || !told)) {
                renewed.accept(context(chain));
                told = true;
            }
            at = sharing != null ? Instant.now().plus(LOOK) : renewAt(chain.get(0));
            if (sharing != null && !chain.isEmpty() && Instant.now().isBefore(renewAt(chain.get(0)))) {
                pass();
            }
        } catch (AcmeException | IOException | GeneralSecurityException | RuntimeException e) {
            LOG.warn("certificate.update_failed", error(e));
        } catch (InterruptedException e) {
            return;
        }
        next = thread.schedule(
                this::keep, Math.max(1_000, Duration.between(Instant.now(), at).toMillis()), TimeUnit.MILLISECONDS);
    }

    private boolean mine(Instant now, Instant dueAt, List<X509Certificate> chain) {
        Instant lastAt = chain.isEmpty()
                ? began.plus(FIRST)
                : dueAt.plus(Duration.between(dueAt, chain.get(0).getNotAfter().toInstant())
                        .dividedBy(2));
        return sharing == null || sharing.mine(now, dueAt, lastAt);
    }

    /** Keeps what another has passed on, where it is newer than what is here and fits; whether it did. */
    private boolean takeOver() throws IOException, GeneralSecurityException {
        byte[] bytes = heard;
        heard = null;
        if (bytes == null || Arrays.equals(bytes, passed)) {
            return false;
        }
        CertificateBundle bundle = CertificateBundle.of(bytes);
        String fault = bundle.fault(names, Instant.now());
        if (fault != null) {
            throw new IOException("the one that was passed on: " + fault);
        }
        List<X509Certificate> own = stored();
        if (!own.isEmpty() && !bundle.begins().isAfter(own.get(0).getNotBefore().toInstant())) {
            return false;
        }
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve("chain.pem")); // a chain beside another's key serves nobody: none is better
        put("key.pem", bundle.key());
        put("chain.pem", bundle.chain());
        passed = bytes;
        LOG.info("certificate.received");
        return true;
    }

    /** The holder's certificate for the others, once, be it one of before the fleet. */
    private void pass() throws IOException {
        CertificateBundle own = new CertificateBundle(
                Files.readString(folder.resolve("key.pem")), Files.readString(folder.resolve("chain.pem")));
        byte[] bytes = own.encoded();
        if (!Arrays.equals(bytes, passed) && sharing.pass(bytes)) {
            passed = bytes;
        }
    }

    private static Instant renewAt(X509Certificate c) {
        Instant from = c.getNotBefore().toInstant(), to = c.getNotAfter().toInstant();
        return to.minus(Duration.between(from, to).dividedBy(3));
    }

    private void order(Instant by) throws AcmeException, IOException, InterruptedException {
        Account account = new AccountBuilder()
                .agreeToTermsOfService()
                .useKeyPair(key("account.pem"))
                .create(new Session(directory));
        Order order = account.newOrder().domains(names).create();
        try {
            for (Authorization a : order.getAuthorizations()) {
                Http01Challenge c = a.findChallenge(Http01Challenge.class)
                        .orElseThrow(() -> new AcmeException("no http-01 challenge is offered"));
                if (a.getStatus() != Status.VALID) {
                    challenges.put(c.getToken(), c.getAuthorization());
                    if (sharing != null) {
                        sharing.challenges(challenges); // known to all before the authority looks
                    }
                    c.trigger();
                }
            }
            check(order.waitUntilReady(Duration.between(Instant.now(), by)), Status.READY);
            order.execute(key("key.pem"));
            check(order.waitForCompletion(Duration.between(Instant.now(), by)), Status.VALID);
        } finally {
            challenges.clear();
        }
        StringWriter chain = new StringWriter();
        order.getCertificate().writeCertificate(chain);
        put("chain.pem", chain.toString());
    }

    /** Writes a file that its owner alone may read, whole or not at all. */
    private void put(String name, String text) throws IOException {
        Path fresh = folder.resolve(name + ".new");
        Files.deleteIfExists(fresh);
        Files.createFile(fresh, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(fresh, text);
        Files.move(fresh, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
    }

    private static void check(Status is, Status wanted) throws AcmeException {
        if (is != wanted) {
            throw new AcmeException("the order is " + is + ", not " + wanted);
        }
    }

    /** The key of that file, made and readable by its owner alone if it is not there. */
    private KeyPair key(String name) throws IOException {
        Path file = folder.resolve(name);
        if (!Files.exists(file)) {
            Files.createDirectories(folder);
            StringWriter text = new StringWriter();
            KeyPairUtils.writeKeyPair(KeyPairUtils.createECKeyPair("secp256r1"), text);
            put(name, text.toString());
        }
        try (Reader in = Files.newBufferedReader(file)) {
            return KeyPairUtils.readKeyPair(in);
        }
    }

    private List<X509Certificate> stored() throws IOException, GeneralSecurityException {
        Path file = folder.resolve("chain.pem");
        if (!Files.exists(file)) {
            return List.of();
        }
        return CertificateBundle.chain(Files.readAllBytes(file));
    }

    private SSLContext context(List<X509Certificate> chain) throws IOException, GeneralSecurityException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, null);
        store.setKeyEntry("events", key("key.pem").getPrivate(), new char[0], chain.toArray(new Certificate[0]));
        KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        keys.init(store, new char[0]);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(keys.getKeyManagers(), null, null);
        return context;
    }
}
