package elderseam.rules;

import elderseam.core.ActiveRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The cost of one request for a table of rules of which only the last matches: without a body, with state, with a body. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"})
public class RulesBench {
    /** The index of the class that the last rule sets. */
    private static final int EXPECTED_CLASS = 1;

    private static final KnownNames NAMES =
            KnownNames.of(List.of("status-update", "job-order", "rent-payment"), List.of("erongo"));
    private static final long UNLIMITED_REQUEST_BUDGET = 1L << 40;
    private static final long FAR_DEADLINE = 1L << 60;
    private static final long STEP_NS = 1_000;
    private static final long WALL_MS = 1_800_000_000_000L;
    private static final String REQUEST = """
            POST /rent-payment
            X-Kind: rent-invoice

            {"lease": {"id": 12, "unit": "4b"}, "month": "2026-12", "amount": 12000, \
            "lines": [{"text": "rent", "amount": 11000}, {"text": "water", "amount": 1000}]}""";

    /** The number of rules. */
    @Param({"1", "10", "100", "1000"})
    public int rules;

    /** What the conditions read. */
    @Param({"plain", "state", "body"})
    public String kind;

    private final RuleResult result = RuleResult.untraced();
    private Rulebook rulebook;
    private SampleRequest request;
    private ActiveRequest.Message message;
    private long nowNs;

    /** Loads the rules and makes the request. */
    @Setup
    public void setUp() throws IOException {
        Path file = Files.writeString(Files.createTempFile("bench", ".rules"), rulesFile());
        rulebook = RuleLoader.load(List.of(file), limits(), NAMES).rulebook();
        Files.delete(file);
        request = SampleRequest.parse(REQUEST, new ArrayList<>());
        request.setState("rate=10 share=3", new ArrayList<>());
        byte[] body = "x".getBytes(StandardCharsets.UTF_8);
        message =
                new ActiveRequest.Message("id", (byte) 0, 2, 0, 17, FAR_DEADLINE, FAR_DEADLINE, false, true, "", body);
    }

    private static RuleLimits limits() {
        RuleLimits defaults = RuleLimits.DEFAULTS;
        return new RuleLimits(
                defaults.zone(),
                defaults.maxBodyBytes(),
                defaults.maxBodyDepth(),
                defaults.maxFieldChars(),
                defaults.maxListItems(),
                defaults.expressionBudget(),
                UNLIMITED_REQUEST_BUDGET,
                defaults.rateWindowSeconds(),
                defaults.rememberSeconds());
    }

    private String rulesFile() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < rules; i++) {
            String suffix = i == rules - 1 ? "" : "-" + i;
            text.append("[rule r").append(i).append("]\nwhen = ").append(condition(i, suffix));
            text.append("\nclass = 'job-order'\n");
        }
        return text.toString();
    }

    /** A condition that the request meets if the suffix is empty. */
    private String condition(int rule, String suffix) {
        String tenant = "message.tenant == 'erongo" + suffix + "'";
        return switch (kind) {
            case "plain" ->
                tenant + " && request.headers['x-kind'].startsWith('rent" + suffix + "') && message.destination > "
                        + (rule % 7);
            case "state" ->
                tenant + " && state.rate > 3.0 * state.share && state.breaker == 'closed' && local.days_left < 31";
            default -> tenant + " && body.lease.id == 12 && body.month.startsWith('2026" + suffix + "')";
        };
    }

    /** Applies the table to one request. */
    @Benchmark
    public int table() {
        nowNs += STEP_NS;
        rulebook.decide(message, request, request.environment(), nowNs, WALL_MS, result);
        if (result.classIndex != EXPECTED_CLASS) {
            throw new IllegalStateException("the last rule matches");
        }
        return result.classIndex;
    }
}
