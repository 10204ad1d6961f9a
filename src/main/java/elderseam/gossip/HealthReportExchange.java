package elderseam.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Exchanges health reports with the other members: verifies received reports, forwards new ones, publishes this
 * member's own, and derives advice from those of the other members.
 *
 * <p>Bounds: 256 destinations for each reporter, reporters only from the roster, and 40 signature verifications a
 * second for each sender.
 */
final class HealthReportExchange {
    private static final int MAX_DESTINATIONS_PER_REPORTER = 256;
    private static final int MAX_QUEUED_REPORTS = 1_024;
    private static final int MAX_REPORTS_IN_FULL_STATE = 256;
    private static final double MAX_VERIFICATIONS_PER_SECOND = 40;
    private static final long MAX_REPORT_AGE_MS = TimeUnit.SECONDS.toMillis(12);

    private static final Comparator<SignedReport> NEWEST_FIRST = Comparator.comparingLong(SignedReport::reporterWallMs)
            .reversed()
            .thenComparing(SignedReport::report, HealthReport.BY_AGE.reversed());

    private final String self;
    private final PeerVerifier verifier;
    private final DropCounters<DropReason> drops;
    private final OwnReportPublisher publisher;
    private final HealthReportTable table = new HealthReportTable(MAX_DESTINATIONS_PER_REPORTER);
    private final HealthEstimator estimator = new HealthEstimator();
    private final ClockOffsetEstimator clockOffsets = new ClockOffsetEstimator();
    private final PiggybackQueue<SignedReport> queue =
            new PiggybackQueue<>(MAX_QUEUED_REPORTS, SignedReport::encodedBytes);
    /** The reports in {@link #table} with their signatures, by {@link #subject}. */
    private final Map<String, SignedReport> signedReports = new HashMap<>();

    private final Map<String, TokenBucket> verificationsBySender = new HashMap<>();
    private Set<Long> advisedDestinations = new HashSet<>();

    HealthReportExchange(LocalMember self, PeerVerifier verifier, DropCounters<DropReason> drops, long nowNs) {
        this.self = self.name();
        this.verifier = verifier;
        this.drops = drops;
        this.publisher = new OwnReportPublisher(self, nowNs);
    }

    // ---------------------------------------------------------------- receiving

    /** Records the time stamp of a member's packet, from which the age of its reports is derived. */
    void observeClock(String member, long memberWallMs, long ownWallMs, long nowNs) {
        clockOffsets.observe(member, memberWallMs, ownWallMs, nowNs);
    }

    /** Stores and forwards a report received from {@code sender}, if it is new and its signature is valid. */
    void receive(String sender, SignedReport signed, long nowNs, long wallMs) {
        HealthReport report = signed.report();
        if (report.reporter().equals(self) || !table.isNewer(report)) {
            return;
        }
        if (clockOffsets.ageMs(report.reporter(), signed.reporterWallMs(), wallMs) > MAX_REPORT_AGE_MS) {
            drops.increment(DropReason.STALE_REPORT);
        } else if (!tryAcquireVerification(sender, nowNs)) {
            drops.increment(DropReason.REPORTS_OVER_RATE);
        } else if (!hasValidSignature(signed)) {
            drops.increment(DropReason.FORGED_REPORT);
        } else if (table.add(report, nowNs)) {
            enqueue(signed, nowNs);
        }
    }

    private boolean tryAcquireVerification(String sender, long nowNs) {
        return verificationsBySender
                .computeIfAbsent(
                        sender,
                        newSender -> new TokenBucket(MAX_VERIFICATIONS_PER_SECOND, MAX_VERIFICATIONS_PER_SECOND, nowNs))
                .tryAcquire(1, nowNs);
    }

    private boolean hasValidSignature(SignedReport signed) {
        byte[] signedBytes = PacketCodec.signedBytes(signed.report(), signed.reporterWallMs(), signed.keyId());
        return verifier.isSignatureValid(signed.report().reporter(), signed.keyId(), signedBytes, signed.signature());
    }

    /**
     * Queues the report for forwarding. Reports with more agreeing current reports of the same destination are sent
     * earlier.
     */
    private void enqueue(SignedReport signed, long nowNs) {
        HealthReport report = signed.report();
        String subject = subject(report);
        signedReports.put(subject, signed);
        int agreeingReports = 0;
        for (HealthReport current : table.currentReports(report.destination(), nowNs)) {
            agreeingReports += current.state() == report.state() ? 1 : 0;
        }
        queue.put(subject, signed, agreeingReports);
    }

    private static String subject(HealthReport report) {
        return report.reporter() + " " + report.destination();
    }

    // ---------------------------------------------------------------- own reports and advice

    /**
     * Publishes the reports of this member's breakers that are due, and reports advice on each destination for which
     * other members have current reports. When the last of these has expired, reports {@link Advice#NONE} once.
     */
    void update(List<OwnBreaker> ownBreakers, BiConsumer<Long, Advice> advice, long nowNs, long wallMs) {
        table.removeOutdated(nowNs);
        signedReports.values().removeIf(signed -> !table.contains(signed.report()));
        Map<Long, OwnBreaker> byDestination = new TreeMap<>();
        ownBreakers.forEach(breaker -> byDestination.put(breaker.destination(), breaker));
        publisher.publish(byDestination, nowNs, report -> addOwn(report, nowNs, wallMs));
        reportAdvice(byDestination, advice, nowNs);
    }

    private void addOwn(HealthReport report, long nowNs, long wallMs) {
        table.add(report, nowNs);
        int keyId = verifier.keyId();
        byte[] signature = verifier.sign(PacketCodec.signedBytes(report, wallMs, keyId));
        enqueue(new SignedReport(report, wallMs, keyId, signature), nowNs);
    }

    private void reportAdvice(Map<Long, OwnBreaker> ownBreakers, BiConsumer<Long, Advice> advice, long nowNs) {
        Set<Long> reported = new HashSet<>();
        for (long destination : table.reportedDestinations(self, nowNs)) {
            reported.add(destination);
            advice.accept(destination, advice(destination, ownBreakers.get(destination), nowNs));
        }
        for (long destination : advisedDestinations) {
            if (!reported.contains(destination)) {
                advice.accept(destination, Advice.NONE);
            }
        }
        advisedDestinations = reported;
    }

    /**
     * Returns the advice on a destination.
     *
     * @param own this member's breaker, or null if it has none for the destination
     */
    private Advice advice(long destination, OwnBreaker own, long nowNs) {
        List<HealthReport> others = new ArrayList<>();
        for (HealthReport report : table.currentReports(destination, nowNs)) {
            if (!report.reporter().equals(self)) {
                others.add(report);
            }
        }
        int calls = own == null ? 0 : own.calls();
        int delivered = own == null ? 0 : own.calls() - own.failures();
        double suspicion = estimator.suspicion(others, calls, delivered, nowNs);
        return new Advice(suspicion, estimator.trialCallers(others, nowNs));
    }

    // ---------------------------------------------------------------- sending

    /** Returns whether reports are queued to be piggybacked. */
    boolean hasQueued() {
        return !queue.isEmpty();
    }

    /** Returns queued reports of at most {@code maxBytes} bytes, and counts them as sent. */
    List<SignedReport> takeQueued(int maxBytes, int maxSends) {
        return queue.take(maxBytes, maxSends);
    }

    /** Returns the current reports for a full state exchange, newest first, as many as fit into {@code maxBytes}. */
    List<SignedReport> fullState(int maxBytes, long nowNs) {
        List<SignedReport> newest = signedReports.values().stream()
                .filter(signed -> table.isCurrent(signed.report(), nowNs))
                .sorted(NEWEST_FIRST)
                .limit(MAX_REPORTS_IN_FULL_STATE)
                .toList();
        List<SignedReport> fitting = new ArrayList<>();
        int bytesLeft = maxBytes;
        for (SignedReport signed : newest) {
            bytesLeft -= signed.encodedBytes();
            if (bytesLeft < 0) {
                break;
            }
            fitting.add(signed);
        }
        return fitting;
    }

    // ---------------------------------------------------------------- inspection and removal

    List<HealthReport> currentReports(long destination, long nowNs) {
        return table.currentReports(destination, nowNs);
    }

    List<HealthReport> allReports() {
        return table.all();
    }

    double credibility(String reporter, long nowNs) {
        return estimator.credibility(reporter, nowNs);
    }

    /** Removes a member and all its reports. */
    void remove(String member) {
        table.removeReporter(member);
        estimator.remove(member);
        clockOffsets.remove(member);
        verificationsBySender.remove(member);
        Iterator<SignedReport> remaining = signedReports.values().iterator();
        while (remaining.hasNext()) {
            HealthReport report = remaining.next().report();
            if (report.reporter().equals(member)) {
                remaining.remove();
                queue.remove(subject(report));
            }
        }
    }
}
