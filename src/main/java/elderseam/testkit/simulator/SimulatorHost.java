package elderseam.testkit.simulator;

import elderseam.policy.CompletedAttempt;
import elderseam.policy.DispatchPolicy;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.PolicyActions;
import elderseam.policy.PolicyRequest;
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

/** Hosts one module for each courier on the simulator's wire. It translates and decides nothing. */
public final class SimulatorHost {
    private static final int SLOTS = 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final StringBuilder reply = new StringBuilder(1 << 16);
    private final Map<String, Courier> couriers = new HashMap<>();
    private final List<Courier> active = new ArrayList<>();
    private final List<List<ListedEndpoint>> lists = new ArrayList<>();
    private long lineNo;
    private long turns;

    public SimulatorHost(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        for (int i = 0; i < SLOTS; i++) {
            lists.add(null);
        }
    }

    public void run() throws IOException {
        String line;
        while ((line = next()) != null) {
            LineFields f = new LineFields(line, lineNo);
            if (!f.text("message name").equals("TURN")) {
                throw f.fault("expected TURN");
            }
            long now = f.number("clock");
            long batch = f.number("batch number");
            f.end();
            turn(now, batch);
        }
    }

    private String next() throws IOException {
        lineNo++;
        return in.readLine();
    }

    private String nextInBatch() throws IOException {
        String line = next();
        if (line == null) {
            throw new WireException("line " + lineNo + ": input ended inside a batch");
        }
        return line;
    }

    private void turn(long now, long batch) throws IOException {
        reply.setLength(0);
        active.clear();
        turns++;
        while (true) {
            LineFields f = new LineFields(nextInBatch(), lineNo);
            String name = f.text("message name");
            if (name.equals("FLUSH")) {
                f.end();
                break;
            }
            if (name.equals("MANIFEST")) {
                manifest(f);
            } else {
                event(name, f, now);
            }
        }
        for (Courier c : active) {
            if (c.brain != null) {
                c.guard(() -> c.brain.turnEnd(now));
            }
        }
        reply.append("OK ").append(batch).append('\n');
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void manifest(LineFields f) throws IOException {
        int slot = f.index("list slot", SLOTS);
        int rows = f.index("row count", Integer.MAX_VALUE);
        f.end();
        List<ListedEndpoint> entries = new ArrayList<>(Math.min(rows, 4096));
        for (int i = 0; i < rows; i++) {
            LineFields r = new LineFields(nextInBatch(), lineNo);
            if (!r.text("message name").equals("ROW")) {
                throw r.fault("expected ROW");
            }
            entries.add(WireCodec.endpoint(r));
        }
        lists.set(slot, entries);
    }

    private List<ListedEndpoint> list(String slot, LineFields f) {
        long number = f.number(slot, "list slot");
        if (number < 0 || number >= SLOTS || lists.get((int) number) == null) {
            throw f.fault("no list in slot " + number);
        }
        return lists.get((int) number);
    }

    private void event(String name, LineFields f, long now) {
        String id = f.text("courier");
        if (name.equals("ENLIST")) {
            long seed = f.number("seed");
            Courier c = new Courier(id);
            couriers.put(id, c);
            active.removeIf(a -> a.id.equals(id));
            active.add(c);
            c.turn = turns;
            c.guard(() -> c.brain = new DispatchPolicy(WireCodec.settings(f), seed, c));
            return;
        }
        Courier c = couriers.get(id);
        if (c == null) {
            throw f.fault("unknown instance " + id);
        }
        if (c.turn != turns) {
            c.turn = turns;
            active.add(c);
        }
        Runnable call = translate(name, f, now, c);
        if (call != null && c.brain != null) {
            c.guard(call);
        }
        if (name.equals("CRASH_NOW")) {
            couriers.remove(id);
            active.remove(c);
        }
    }

    private Runnable translate(String name, LineFields f, long now, Courier c) {
        switch (name) {
            case "CRASH_NOW":
                f.end();
                return null;
            case "UPDATE": {
                String slot = f.text("list slot");
                ListUpdateKind kind = WireCodec.listKind(f);
                f.numberOr("generation", 0);
                f.end();
                List<ListedEndpoint> entries = kind == ListUpdateKind.FAILED ? List.of() : list(slot, f);
                return () -> c.brain.endpoints(now, kind, entries);
            }
            case "SUBMIT": {
                PolicyRequest m = WireCodec.message(f);
                return () -> c.brain.request(now, m);
            }
            case "RESPONSE": {
                CompletedAttempt o = WireCodec.outcome(f);
                return () -> c.brain.outcome(now, o);
            }
            case "LAPSED": {
                String corr = f.text("corr");
                f.end();
                return () -> c.brain.withdrawn(now, corr);
            }
            case "TIMEOUT_FIRED": {
                long token = f.number("handle");
                f.end();
                return () -> c.brain.timer(now, token);
            }
            case "CHECKED":
                WireCodec.checked(f);
                return null;
            case "FIRST_BYTE":
                WireCodec.firstByte(f);
                return null;
            case "DATAGRAM":
                f.number("src");
                f.text("blob");
                f.end();
                return null;
            default:
                throw f.fault("unknown event " + name);
        }
    }

    /** One courier: writes its module's actions to the reply. */
    private final class Courier implements PolicyActions {
        private final String id;
        private DispatchPolicy brain;
        private long turn;

        Courier(String id) {
            this.id = id;
        }

        void guard(Runnable call) {
            try {
                call.run();
            } catch (WireException e) {
                throw e;
            } catch (RuntimeException e) {
                brain = null;
                StackTraceElement[] at = e.getStackTrace();
                String words = e + (at.length > 0 ? " at " + at[0] : "");
                line("BROKEN").append(' ').append(words.replace('\n', ' ')).append('\n');
            }
        }

        private StringBuilder line(String name) {
            return reply.append(name).append(' ').append(id);
        }

        @Override
        public void send(String corr, String endpoint, long stopAt) {
            line("FORWARD")
                    .append(' ')
                    .append(corr)
                    .append(' ')
                    .append(endpoint)
                    .append(' ')
                    .append(stopAt)
                    .append('\n');
        }

        @Override
        public void cancel(String corr, int attempt) {
            line("RETRACT").append(' ').append(corr).append(' ').append(attempt).append('\n');
        }

        @Override
        public void reject(String corr, long retryAfterNs) {
            line("BOUNCE")
                    .append(' ')
                    .append(corr)
                    .append(' ')
                    .append(retryAfterNs)
                    .append('\n');
        }

        @Override
        public void fail(String corr) {
            line("FAIL").append(' ').append(corr).append('\n');
        }

        @Override
        public void timer(long token, long afterNs) {
            line("ARM").append(' ').append(token).append(' ').append(afterNs).append('\n');
        }

        @Override
        public void disconnect(String endpoint) {
            line("DISCONNECT").append(' ').append(endpoint).append('\n');
        }

        @Override
        public void subscribe() {
            line("LISTEN").append(" 1\n");
        }

        @Override
        public void breakerOpened(String breaker, String cause) {
            line("LOG")
                    .append(" open ")
                    .append(breaker)
                    .append(": ")
                    .append(cause)
                    .append('\n');
        }

        @Override
        public void breakerClosed(String breaker) {
            line("LOG").append(" closed ").append(breaker).append('\n');
        }
    }
}
