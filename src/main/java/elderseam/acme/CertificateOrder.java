package elderseam.acme;

import java.io.IOException;
import java.io.StringWriter;
import java.net.URL;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.shredzone.acme4j.AccountBuilder;
import org.shredzone.acme4j.Authorization;
import org.shredzone.acme4j.Login;
import org.shredzone.acme4j.Order;
import org.shredzone.acme4j.Session;
import org.shredzone.acme4j.Status;
import org.shredzone.acme4j.challenge.Http01Challenge;
import org.shredzone.acme4j.exception.AcmeException;
import org.shredzone.acme4j.exception.AcmeNetworkException;

/**
 * Orders a certificate from an ACME authority, proving the names by http-01 (RFC 8555, section 8.3). An order that a network
 * error has interrupted stays open at the authority, and is resumed instead of placed again. Blocks; not thread-safe.
 */
final class CertificateOrder {
    private final String directory;
    private final List<String> names;
    private final CertificateStore store;
    private final ChallengeAnswers answers;
    private final SharedCertificateOrder fleet;
    private URL openOrder; // interrupted, and to be resumed; null if there is none
    private Instant openOrderDeadline;

    /**
     * Prepares orders.
     *
     * @param directory the URL of the authority's directory
     * @param names the DNS names that the certificate is for
     * @param answers get the answers to challenges, as long as an order takes
     * @param fleet the fleet that this member orders for, or null
     */
    CertificateOrder(
            String directory,
            List<String> names,
            CertificateStore store,
            ChallengeAnswers answers,
            SharedCertificateOrder fleet) {
        this.directory = directory;
        this.names = names;
        this.store = store;
        this.answers = answers;
        this.fleet = fleet;
    }

    /** Whether an order was interrupted that the next {@link #place} resumes. */
    boolean isInterrupted() {
        return openOrder != null && Instant.now().isBefore(openOrderDeadline);
    }

    /**
     * Orders a certificate, or resumes the interrupted order, and stores its chain.
     *
     * @param deadline of a new order; an interrupted one keeps its own
     * @throws AcmeException if the authority refuses it or is not ready by the deadline
     */
    void place(Instant deadline) throws AcmeException, IOException, InterruptedException {
        Login login = new AccountBuilder()
                .agreeToTermsOfService()
                .useKeyPair(store.accountKey())
                .createLogin(new Session(directory));
        Order order = isInterrupted() ? login.bindOrder(openOrder) : create(login, deadline);
        boolean interrupted = false;
        try {
            complete(order);
        } catch (AcmeNetworkException e) {
            interrupted = true;
            throw e;
        } finally {
            answers.clearOwn();
            if (!interrupted) {
                openOrder = null;
            }
        }
    }

    private Order create(Login login, Instant deadline) throws AcmeException {
        Order order = login.getAccount().newOrder().domains(names).create();
        openOrder = order.getLocation();
        openOrderDeadline = deadline;
        return order;
    }

    /** Does what is left of an order, and stores the chain. */
    private void complete(Order order) throws AcmeException, IOException, InterruptedException {
        if (order.getStatus() == Status.PENDING) {
            for (Authorization authorization : order.getAuthorizations()) {
                prove(authorization);
            }
            requireStatus(Status.READY, order.waitUntilReady(timeLeft()));
        }
        if (order.getStatus() == Status.READY) {
            order.execute(store.certificateKey());
        }
        requireStatus(Status.VALID, order.waitForCompletion(timeLeft()));
        StringWriter chain = new StringWriter();
        order.getCertificate().writeCertificate(chain);
        requireServable(chain.toString());
        store.saveChain(chain.toString());
    }

    /** Whatever the authority sends, the certificate that is held stays until another can be served. */
    private void requireServable(String chain) throws AcmeException, IOException {
        try {
            store.bundleWith(chain).parsed();
        } catch (IllegalArgumentException e) {
            throw new AcmeException("the certificate that the authority sent can't be served: " + e.getMessage(), e);
        }
    }

    private Duration timeLeft() {
        return Duration.between(Instant.now(), openOrderDeadline);
    }

    private void prove(Authorization authorization) throws AcmeException {
        Http01Challenge challenge = authorization
                .findChallenge(Http01Challenge.class)
                .orElseThrow(() -> new AcmeException("no http-01 challenge is offered"));
        if (authorization.getStatus() == Status.VALID) {
            return;
        }
        answers.add(challenge.getToken(), challenge.getAuthorization());
        if (fleet != null) {
            fleet.publishChallengeAnswers(answers.own()); // before the authority asks: it may ask any member
        }
        challenge.trigger();
    }

    private static void requireStatus(Status required, Status actual) throws AcmeException {
        if (actual != required) {
            throw new AcmeException("the order is " + actual + ", not " + required);
        }
    }
}
