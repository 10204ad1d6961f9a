package elderseam.testkit.emulator;

import elderseam.core.AttemptOutcome;
import elderseam.core.FinalOutcome;
import elderseam.policy.RequestClass;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Collects the figures of a run: service, counts of requests and calls, latencies by class, and values by second.
 *
 * <p>Service is the value of the requests that were delivered, over the value that all requests had. A delivery in time has the weight
 * of its class as value, a late one less. Service belongs to the second in which the request was created, counts of events to the second
 * in which they happen.
 */
public final class RunStatistics implements WorldListener {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long NANOS_PER_MICRO = TimeUnit.MICROSECONDS.toNanos(1);
    private static final double MICROS_PER_MILLI = 1_000;

    /** Seconds that a run may go on after the scenario's end; later events count in the last one. */
    private static final int RUNOUT_SECONDS = 60;

    /** Length of the window by which the worst service is measured. */
    private static final int WORST_WINDOW_SECONDS = 10;

    private static final double MIN_TOTAL_VALUE = 1e-9;

    /** After its deadline a delivery keeps its value for so long. */
    private static final long DEADLINE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(1);
    private static final int LATENCY_DIGITS = 3;
    private static final double P99_9 = 99.9;
    private static final double[] REPORTED_PERCENTILES = {50, 99, P99_9};

    private final double[] possibleValue;
    private final double[] deliveredValue;
    private final int[] rejections;
    private final int[] calls;
    private final int[] failedCalls;
    private final Histogram[] latencyMicros = new Histogram[Policies.CLASSES.size()];
    private int requests;
    private int submissions;
    private int delivered;
    private int rejected;
    private int failed;
    private int lost;
    private int callCount;
    private int failedCallCount;
    private int callsInTrouble;

    /** By destination: how many troubles it has now. */
    private final Map<Long, Integer> troubles = new HashMap<>();

    /** By endpoint and dispatcher: until when the connection is idle at least. */
    private final Map<String, Map<Integer, Long>> connectedUntil = new HashMap<>();

    private final Map<Long, Map<String, Integer>> callsByEndpoint = new HashMap<>();
    private int connections;
    private int maxDispatchersAtEndpoint;

    /** Creates statistics for one run of a scenario. */
    public RunStatistics(Scenario scenario) {
        int seconds = (int) Math.ceil(scenario.seconds()) + RUNOUT_SECONDS;
        possibleValue = new double[seconds];
        deliveredValue = new double[seconds];
        rejections = new int[seconds];
        calls = new int[seconds];
        failedCalls = new int[seconds];
        Arrays.setAll(latencyMicros, any -> new Histogram(MAX_LATENCY_MICROS, LATENCY_DIGITS));
    }

    private int second(long time) {
        return (int) Math.min(possibleValue.length - 1, time / NANOS_PER_SECOND);
    }

    @Override
    public void submitted(long now, ClientRequest request, boolean again) {
        submissions++;
        if (!again) {
            requests++;
            possibleValue[second(request.created())] += classOf(request).priorityWeight();
        }
    }

    private static RequestClass classOf(ClientRequest request) {
        return Policies.CLASSES.get(request.requestClass());
    }

    @Override
    public void answered(long now, ClientRequest request, FinalOutcome answer) {
        countRejection(now, answer);
    }

    @Override
    public void answeredUnexpectedly(long now, String requestId, FinalOutcome answer) {
        countRejection(now, answer);
    }

    private void countRejection(long now, FinalOutcome answer) {
        if (answer.kind() == FinalOutcome.Kind.REJECTED) {
            rejections[second(now)]++;
        }
    }

    @Override
    public void finished(long now, ClientRequest request, FinalOutcome.Kind kind) {
        switch (kind) {
            case DELIVERED -> {
                delivered++;
                long latency = now - request.created();
                long micros = Math.max(1, latency / NANOS_PER_MICRO);
                latencyMicros[request.requestClass()].recordValue(Math.min(MAX_LATENCY_MICROS, micros));
                deliveredValue[second(request.created())] += value(classOf(request), latency);
            }
            case REJECTED -> rejected++;
            default -> failed++;
        }
    }

    @Override
    public void lost(long now, ClientRequest request) {
        lost++;
    }

    /** The class's weight up to its latency objective, half for each further objective, but no less than its late weight. */
    private static double value(RequestClass requestClass, long latency) {
        if (latency > requestClass.deadlineNs() + DEADLINE_GRACE_NANOS) {
            return 0;
        }
        long objective = requestClass.latencyObjectiveNs();
        double late = Math.max(0, (double) (latency - objective) / objective);
        return requestClass.priorityWeight() * Math.max(requestClass.lateWeight(), Math.pow(0.5, late));
    }

    @Override
    public void connectionOpened(long now, int dispatcher, String endpoint, long idleUntil) {
        connections++;
        Map<Integer, Long> connected = connectedUntil.computeIfAbsent(endpoint, any -> new HashMap<>());
        connected.values().removeIf(until -> until < now);
        connected.put(dispatcher, idleUntil);
        maxDispatchersAtEndpoint = Math.max(maxDispatchersAtEndpoint, connected.size());
    }

    @Override
    public void attemptSent(long now, int dispatcher, ClientRequest request, String endpoint) {
        callCount++;
        calls[second(now)]++;
        long destination = request.destination();
        callsByEndpoint.computeIfAbsent(destination, any -> new HashMap<>()).merge(endpoint, 1, Integer::sum);
        if (troubles.containsKey(destination)) {
            callsInTrouble++;
        }
    }

    @Override
    public void attemptEnded(long now, int dispatcher, ClientRequest request, String endpoint, AttemptOutcome outcome) {
        AttemptOutcome.Status status = outcome.status();
        if (status != AttemptOutcome.Status.DELIVERED && status != AttemptOutcome.Status.OVERLOADED) {
            failedCallCount++;
            failedCalls[second(now)]++;
        }
    }

    @Override
    public void troubleChanged(long now, long destination, boolean begins) {
        int change = begins ? 1 : -1;
        troubles.merge(destination, change, (count, delta) -> count + delta == 0 ? null : count + delta);
    }

    /** Value of what was delivered over the value of all requests, 0 to 1. */
    public double service() {
        double possible = sum(possibleValue, 0, possibleValue.length);
        return sum(deliveredValue, 0, deliveredValue.length) / Math.max(MIN_TOTAL_VALUE, possible);
    }

    /** The lowest service of ten successive seconds, of those with at least a tenth of the mean value of requests. */
    public double worstService() {
        int seconds = possibleValue.length;
        double meanValue = sum(possibleValue, 0, seconds) / seconds * WORST_WINDOW_SECONDS;
        double worst = 1;
        for (int from = 0; from + WORST_WINDOW_SECONDS <= seconds; from++) {
            double possible = sum(possibleValue, from, from + WORST_WINDOW_SECONDS);
            if (possible > meanValue / 10) {
                worst = Math.min(worst, sum(deliveredValue, from, from + WORST_WINDOW_SECONDS) / possible);
            }
        }
        return worst;
    }

    private static double sum(double[] values, int from, int to) {
        double sum = 0;
        for (int i = from; i < to; i++) {
            sum += values[i];
        }
        return sum;
    }

    /** Service of each second; NaN where no request was created. */
    public double[] serviceBySecond() {
        double[] service = new double[possibleValue.length];
        for (int i = 0; i < service.length; i++) {
            service[i] = possibleValue[i] == 0 ? Double.NaN : deliveredValue[i] / possibleValue[i];
        }
        return service;
    }

    /** Rejections that reached clients, by second. */
    public int[] rejectionsBySecond() {
        return rejections.clone();
    }

    /** Attempts sent, by second. */
    public int[] callsBySecond() {
        return calls.clone();
    }

    /** Attempts that ended neither delivered nor refused, by second. */
    public int[] failedCallsBySecond() {
        return failedCalls.clone();
    }

    /** Latencies of delivered requests of a class, in microseconds. The histogram itself, not a copy. */
    public Histogram latencyMicros(int requestClass) {
        return latencyMicros[requestClass];
    }

    /** The most calls at an endpoint over the mean of its destination's, averaged over destinations by their calls. */
    private double endpointImbalance() {
        double weightedMaxima = 0;
        double total = 0;
        for (Map<String, Integer> endpoints : callsByEndpoint.values()) {
            int max = 0;
            for (int count : endpoints.values()) {
                max = Math.max(max, count);
                total += count;
            }
            weightedMaxima += (double) max * endpoints.size();
        }
        return total == 0 ? 1 : weightedMaxima / total;
    }

    /** Returns a new map of the figures by name, in the order of reports. */
    public Map<String, Double> figures() {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("service", service());
        figures.put("worst_10s", worstService());
        figures.put("messages", (double) requests);
        figures.put("delivered", (double) delivered);
        figures.put("refused", (double) rejected);
        figures.put("failed", (double) failed);
        figures.put("lost", (double) lost);
        figures.put("handed_in", (double) submissions);
        figures.put("calls", (double) callCount);
        figures.put("failed_calls", (double) failedCallCount);
        figures.put("calls_in_trouble", (double) callsInTrouble);
        figures.put("connections", (double) connections);
        figures.put("most_dispatchers_at_endpoint", (double) maxDispatchersAtEndpoint);
        figures.put("endpoint_max_over_mean", endpointImbalance());
        for (int i = 0; i < latencyMicros.length; i++) {
            for (double percentile : REPORTED_PERCENTILES) {
                String label = percentile == P99_9 ? "99_9" : Integer.toString((int) percentile);
                double millis = latencyMicros[i].getValueAtPercentile(percentile) / MICROS_PER_MILLI;
                figures.put(Policies.CLASS_NAMES.get(i) + "_p" + label + "_ms", millis);
            }
        }
        return figures;
    }
}
