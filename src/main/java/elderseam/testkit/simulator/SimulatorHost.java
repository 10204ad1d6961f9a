package elderseam.testkit.simulator;

import elderseam.policy.ListedEndpoint;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Hosts one policy for each dispatcher of the external simulator. It translates between the wire and the policies, and decides nothing.
 *
 * <p>The input is a series of batches: a line {@code TURN CLOCK NUMBER}, the events of that time, and {@code FLUSH}. Each batch is
 * answered by the policies' actions, one a line in the order in which they were asked for, and {@code OK NUMBER}. All on the caller's
 * thread.
 */
public final class SimulatorHost {
    private static final int INPUT_BUFFER_CHARS = 1 << 16;
    private static final int INITIAL_REPLY_CHARS = 1 << 16;

    /** Rows for which room is made before they are read, whatever count a list announces. */
    private static final int MAX_PREALLOCATED_ROWS = 4096;

    private final BufferedReader input;
    private final OutputStream output;
    private final StringBuilder reply = new StringBuilder(INITIAL_REPLY_CHARS);
    private final Map<String, HostedPolicy> policies = new HashMap<>();

    /** Those with an event in the current batch, in the order of their first one. */
    private final List<HostedPolicy> activePolicies = new ArrayList<>();

    private final EndpointListSlots lists = new EndpointListSlots();
    private final PolicyEventDecoder decoder = new PolicyEventDecoder(lists);
    private long lineNumber;
    private long batchCount;

    /** Creates a host on two streams, which stay the caller's to close. */
    public SimulatorHost(InputStream input, OutputStream output) {
        this.input = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
        this.output = output;
    }

    /**
     * Serves batches until the input ends between two of them.
     *
     * @throws WireException if the input breaks the wire format; the batch that it stands in gets no reply
     */
    public void run() throws IOException {
        String line;
        while ((line = readLine()) != null) {
            LineFields fields = new LineFields(line, lineNumber);
            expectMessage("TURN", fields);
            long now = fields.number("clock");
            long batchNumber = fields.number("batch number");
            fields.end();
            runBatch(now, batchNumber);
        }
    }

    /** Returns null at the end of the input. */
    private String readLine() throws IOException {
        lineNumber++;
        return input.readLine();
    }

    private LineFields readLineInBatch() throws IOException {
        String line = readLine();
        if (line == null) {
            throw new WireException(lineNumber, "input ended inside a batch");
        }
        return new LineFields(line, lineNumber);
    }

    private static void expectMessage(String name, LineFields fields) {
        if (!fields.text("message name").equals(name)) {
            throw fields.fault("expected " + name);
        }
    }

    private void runBatch(long now, long batchNumber) throws IOException {
        reply.setLength(0);
        activePolicies.clear();
        batchCount++;
        readEvents(now);
        for (HostedPolicy hosted : activePolicies) {
            hosted.call(policy -> policy.turnEnd(now));
        }
        reply.append("OK ").append(batchNumber).append('\n');
        output.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    private void readEvents(long now) throws IOException {
        while (true) {
            LineFields fields = readLineInBatch();
            String message = fields.text("message name");
            switch (message) {
                case "FLUSH" -> {
                    fields.end();
                    return;
                }
                case "MANIFEST" -> readEndpointList(fields);
                case "ENLIST" -> startPolicy(fields, now);
                default -> handleEvent(message, fields, now);
            }
        }
    }

    private void readEndpointList(LineFields header) throws IOException {
        int slot = header.index("list slot", EndpointListSlots.SLOT_COUNT);
        int rowCount = header.index("row count", Integer.MAX_VALUE);
        header.end();
        List<ListedEndpoint> endpoints = new ArrayList<>(Math.min(rowCount, MAX_PREALLOCATED_ROWS));
        for (int i = 0; i < rowCount; i++) {
            LineFields row = readLineInBatch();
            expectMessage("ROW", row);
            endpoints.add(WireCodec.endpoint(row));
        }
        lists.store(slot, endpoints);
    }

    /** Starts a dispatcher's policy; one that runs under the same name is replaced. */
    private void startPolicy(LineFields fields, long now) {
        String dispatcher = fields.text("courier");
        long seed = fields.number("seed");
        HostedPolicy started = new HostedPolicy(dispatcher, reply);
        policies.put(dispatcher, started);
        activePolicies.removeIf(active -> active.dispatcher().equals(dispatcher));
        activePolicies.add(started);
        started.markActive(batchCount, now);
        started.start(fields, seed);
    }

    private void handleEvent(String event, LineFields fields, long now) {
        String dispatcher = fields.text("courier");
        HostedPolicy hosted = policies.get(dispatcher);
        if (hosted == null) {
            throw fields.fault("unknown instance " + dispatcher);
        }
        if (hosted.markActive(batchCount, now)) {
            activePolicies.add(hosted);
        }
        hosted.call(decoder.decode(event, fields, now));
        if (event.equals(PolicyEventDecoder.CRASH)) {
            policies.remove(dispatcher);
            activePolicies.remove(hosted);
        }
    }
}
