package elderseam.acme;

import static elderseam.logging.LogField.error;

import elderseam.http.HttpServer.Answerer;
import elderseam.http.HttpServer.Request;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.Security;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.net.ssl.SSLContext;
import org.bouncycastle.jce.provider.BouncyCastleProvider;
import org.shredzone.acme4j.exception.AcmeException;

/**
 * Keeps the certificate of the CloudEvents listener current. It is stored in a folder, used again at the next start, and
 * renewed when a third of its validity is left. The work blocks, so it has a thread of its own; the public methods may be
 * called by any thread.
 *
 * <p>With a {@link SharedCertificateOrder} one member of a fleet orders for all. Until its certificate comes, the others
 * serve the one that they have, or none; at half of the time between the renewal and the end of theirs, each orders by
 * itself.
 */
public final class CertificateManager implements PublishedCertificates {
    private static final EventLogger LOG = EventLogger.of(CertificateManager.class);

    static {
        Security.addProvider(new BouncyCastleProvider()); // acme4j's helpers ask for it by name
    }

    private static final Duration RETRY_DELAY = Duration.ofSeconds(30);

    /** After an error of the disk under what is stored. */
    private static final Duration STORE_RETRY_DELAY = Duration.ofSeconds(1);

    /** How often a member of a fleet looks whether it is the one that orders. */
    private static final Duration FLEET_CHECK_INTERVAL = Duration.ofSeconds(1);

    /** How long a member without any certificate waits for that of another before it orders by itself. */
    private static final Duration FIRST_CERTIFICATE_PATIENCE = Duration.ofMinutes(3);

    private static final long MIN_CHECK_DELAY_MS = 1_000;
    private static final byte[] NO_BUNDLE = {};

    /** The part of a certificate's validity that is left when it is renewed: one third. */
    private static final int RENEWAL_DIVISOR = 3;

    private final List<String> names;
    private final Consumer<SSLContext> onContext;
    private final SharedCertificateOrder fleet; // null where each member orders its own
    private final CertificateStore store;
    private final CertificateOrder order;
    private final ChallengeAnswers challengeAnswers = new ChallengeAnswers();
    private final Instant startedAt = Instant.now();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread created = new Thread(task, "certificates");
        created.setDaemon(true);
        return created;
    });

    /** Published by other members and not looked at yet, in the order of the group's log. */
    private final Queue<byte[]> receivedBundles = new ConcurrentLinkedQueue<>();

    // Of the manager's thread alone:
    private byte[] lastSharedBundle = NO_BUNDLE; // that this member published or took over
    private X509Certificate served; // null before the first
    private ScheduledFuture<?> nextCheck;

    /** Certificates that each member orders for itself: {@link #CertificateManager(String, List, Path, Consumer, SharedCertificateOrder)}. */
    public CertificateManager(String directory, List<String> names, Path folder, Consumer<SSLContext> onContext) {
        this(directory, names, folder, onContext, null);
    }

    /**
     * Prepares the certificate; {@link #start} begins.
     *
     * @param directory the URL of the ACME authority's directory
     * @param names the DNS names that the certificate is for
     * @param folder where keys and chain are stored
     * @param onContext gets the first context and each renewed one, on the manager's thread
     * @param fleet one order for all members, or null where each orders for itself
     */
    public CertificateManager(
            String directory,
            List<String> names,
            Path folder,
            Consumer<SSLContext> onContext,
            SharedCertificateOrder fleet) {
        this.names = names;
        this.onContext = onContext;
        this.fleet = fleet;
        this.store = new CertificateStore(folder);
        this.order = new CertificateOrder(directory, names, store, challengeAnswers, fleet);
    }

    /** Begins with the stored certificate, or an order. */
    public void start() {
        thread.execute(this::check);
    }

    @Override
    public void onPublished(Map<String, String> answers, byte[] bundle) {
        challengeAnswers.publish(answers);
        if (bundle != null) {
            receivedBundles.add(bundle); // at once: a check that is running looks for it before it orders
            thread.execute(this::checkEarly);
        }
    }

    private void checkEarly() {
        if (nextCheck != null && nextCheck.cancel(false)) { // else a check is about to run
            check();
        }
    }

    /** Answers the authority's request for {@code /.well-known/acme-challenge/TOKEN}, with 404 for an unknown token. */
    public void answerChallenge(Request request, Answerer answerer) {
        Optional<String> answer = challengeAnswers.forPath(request.path());
        answerer.answer(
                answer.isPresent() ? 200 : 404, Map.of("Content-Type", "application/octet-stream"), answer.orElse(""));
    }

    /** Whether there is an answer to a request for this path. */
    public boolean knowsChallenge(String path) {
        return challengeAnswers.forPath(path).isPresent();
    }

    /**
     * Serves what is stored, before anything that an outside system could fail or hold up; then does what is due, and
     * schedules itself anew.
     */
    private void check() {
        Instant nextCheckAt = Instant.now().plus(STORE_RETRY_DELAY);
        try {
            serveStored();
            nextCheckAt = Instant.now().plus(RETRY_DELAY);
            Optional<ServedCertificate> current = keepCurrent();
            if (current.isPresent()) {
                nextCheckAt = fleet != null ? Instant.now().plus(FLEET_CHECK_INTERVAL) : renewalOf(current.get());
                publish(current.get());
            } else if (fleet != null) {
                nextCheckAt = Instant.now().plus(FLEET_CHECK_INTERVAL);
            }
        } catch (AcmeException | IOException | GeneralSecurityException | RuntimeException e) {
            LOG.warn("certificate.update_failed", error(e));
        } catch (InterruptedException e) {
            return;
        }
        long delayMs = Duration.between(Instant.now(), nextCheckAt).toMillis();
        nextCheck = thread.schedule(this::check, Math.max(MIN_CHECK_DELAY_MS, delayMs), TimeUnit.MILLISECONDS);
    }

    /** Delivers the stored certificate if it is not the one that is served already, and returns it. */
    private Optional<ServedCertificate> serveStored() throws IOException, GeneralSecurityException {
        Optional<ServedCertificate> stored = store.certificate();
        if (stored.isPresent() && !stored.get().certificate().equals(served)) {
            onContext.accept(stored.get().sslContext());
            served = stored.get().certificate();
        }
        return stored;
    }

    /** Takes over or orders a certificate that is due, and returns the one that is served; empty where there is none. */
    private Optional<ServedCertificate> keepCurrent()
            throws AcmeException, IOException, GeneralSecurityException, InterruptedException {
        takeOver();
        Optional<ServedCertificate> current = serveStored();
        if (isOrderDue(current)) {
            takeOverOrOrder();
            current = serveStored();
        }
        return current;
    }

    /**
     * Places the order that is due, unless the certificate of another member has come while the fleet was asked who orders.
     * That one is published again: the announcement of this member's order may have replaced it in the group's log.
     */
    private void takeOverOrOrder() throws AcmeException, IOException, GeneralSecurityException, InterruptedException {
        boolean isOpen = false;
        try {
            if (takeOver()) {
                lastSharedBundle = NO_BUNDLE;
            } else {
                isOpen = true;
                order.place(Instant.now().plus(SharedCertificateOrder.ORDER_TIMEOUT));
            }
        } catch (AcmeException | IOException | GeneralSecurityException | RuntimeException e) {
            isOpen = order.isInterrupted();
            throw e;
        } finally {
            if (!isOpen && fleet != null) {
                fleet.orderFailed();
            }
        }
    }

    private boolean isOrderDue(Optional<ServedCertificate> current) {
        Instant now = Instant.now();
        Instant dueAt = current.map(CertificateManager::renewalOf).orElse(startedAt);
        return !now.isBefore(dueAt) && (fleet == null || fleet.isOrderedHere(now, dueAt, ownOrderAt(dueAt, current)));
    }

    /** From when on this member does not wait for another's order any more. */
    private Instant ownOrderAt(Instant dueAt, Optional<ServedCertificate> current) {
        if (current.isEmpty()) {
            return startedAt.plus(FIRST_CERTIFICATE_PATIENCE);
        }
        Instant end = current.get().certificate().getNotAfter().toInstant();
        return dueAt.plus(Duration.between(dueAt, end).dividedBy(2));
    }

    /**
     * Takes over the first received bundle that is new; the next check looks at those behind it. One that can't be used
     * hinders nothing; one that can't be stored now is looked at again.
     */
    private boolean takeOver() throws IOException, GeneralSecurityException {
        for (byte[] bytes = receivedBundles.poll(); bytes != null; bytes = receivedBundles.poll()) {
            try {
                if (takeOver(bytes)) {
                    return true;
                }
            } catch (IllegalArgumentException e) {
                LOG.warn("certificate.received_unusable", error(e));
            } catch (IOException e) {
                receivedBundles.add(bytes);
                throw e;
            }
        }
        return false;
    }

    /**
     * Stores the bundle if it is newer than the stored one; returns whether it did.
     *
     * @throws IllegalArgumentException if it can't be served
     */
    private boolean takeOver(byte[] bytes) throws IOException, GeneralSecurityException {
        if (Arrays.equals(bytes, lastSharedBundle)) {
            return false;
        }
        CertificateBundle bundle = CertificateBundle.decode(bytes);
        Optional<String> fault = bundle.findFault(names, Instant.now());
        if (fault.isPresent()) {
            throw new IllegalArgumentException("the one that was passed on: " + fault.get());
        }
        Optional<ServedCertificate> own = store.certificate();
        if (own.isPresent()
                && !bundle.notBefore()
                        .isAfter(own.get().certificate().getNotBefore().toInstant())) {
            return false;
        }
        store.replace(bundle);
        lastSharedBundle = bytes;
        LOG.info("certificate.received");
        return true;
    }

    /** Publishes the stored certificate for the other members, once, even if it is from before the fleet. */
    private void publish(ServedCertificate current) throws IOException {
        if (fleet == null || !Instant.now().isBefore(renewalOf(current))) {
            return;
        }
        byte[] bytes = store.bundle().encoded();
        if (!Arrays.equals(bytes, lastSharedBundle) && fleet.publishBundle(bytes)) {
            lastSharedBundle = bytes;
        }
    }

    private static Instant renewalOf(ServedCertificate served) {
        X509Certificate certificate = served.certificate();
        Instant begin = certificate.getNotBefore().toInstant();
        Instant end = certificate.getNotAfter().toInstant();
        return end.minus(Duration.between(begin, end).dividedBy(RENEWAL_DIVISOR));
    }
}
