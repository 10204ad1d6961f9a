package elderseam.acme;

import java.io.IOException;
import java.io.StringWriter;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.shredzone.acme4j.Account;
import org.shredzone.acme4j.AccountBuilder;
import org.shredzone.acme4j.Authorization;
import org.shredzone.acme4j.Order;
import org.shredzone.acme4j.Session;
import org.shredzone.acme4j.Status;
import org.shredzone.acme4j.challenge.Http01Challenge;
import org.shredzone.acme4j.exception.AcmeException;

/** Orders a certificate from an ACME authority, proving the names by http-01 (RFC 8555, section 8.3). Blocks. */
final class CertificateOrder {
    private final String directory;
    private final List<String> names;
    private final CertificateStore store;
    private final ChallengeAnswers answers;
    private final SharedCertificateOrder fleet;

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

    /**
     * Orders a certificate and stores its chain.
     *
     * @throws AcmeException if the authority refuses it or is not ready by the deadline
     */
    void place(Instant deadline) throws AcmeException, IOException, InterruptedException {
        Account account = new AccountBuilder()
                .agreeToTermsOfService()
                .useKeyPair(store.accountKey())
                .create(new Session(directory));
        Order order = account.newOrder().domains(names).create();
        try {
            for (Authorization authorization : order.getAuthorizations()) {
                prove(authorization);
            }
            requireStatus(Status.READY, order.waitUntilReady(Duration.between(Instant.now(), deadline)));
            order.execute(store.certificateKey());
            requireStatus(Status.VALID, order.waitForCompletion(Duration.between(Instant.now(), deadline)));
        } finally {
            answers.clearOwn();
        }
        StringWriter chain = new StringWriter();
        order.getCertificate().writeCertificate(chain);
        store.saveChain(chain.toString());
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
