package elderseam.rules;

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

/** What a table costs one request: of so many rules, the last of which matches; without a body, with state, and with two fields. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"})
public class RulesBench {
    @Param({"1", "10", "100", "1000"})
    public int rules;

    @Param({"plain", "state", "body"})
    public String kind;

    private Rulebook book;
    private final Ruling ruling = new Ruling(false);
    private Facts facts;
    private Surroundings state;
    private Stream.Message message;
    private long now;

    @Setup
    public void set() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < rules; i++) {
            String last = i == rules - 1 ? "" : "-" + i;
            text.append("[rule r")
                    .append(i)
                    .append("]\nwhen = ")
                    .append(
                            switch (kind) {
                                case "plain" ->
                                    "message.tenant == 'erongo" + last
                                            + "' && request.headers['x-kind'].startsWith('rent" + last
                                            + "') && message.destination > " + (i % 7);
                                case "state" ->
                                    "message.tenant == 'erongo" + last
                                            + "' && state.rate > 3.0 * state.share && state.breaker == 'closed' && local.days_left < 31";
                                default ->
                                    "message.tenant == 'erongo" + last
                                            + "' && body.lease.id == 12 && body.month.startsWith('2026" + last + "')";
                            })
                    .append("\nclass = 'job-order'\n");
        }
        Path file = Files.writeString(Files.createTempFile("bench", ".rules"), text);
        Extent e = Extent.USUAL;
        book = Loader.load(
                        List.of(file),
                        new Extent(
                                e.zone(),
                                e.bodyBytes(),
                                e.bodyDepth(),
                                e.fieldChars(),
                                e.listItems(),
                                e.budget(),
                                1L << 40,
                                e.windowS(),
                                e.rememberS()),
                        Names.of(List.of("status-update", "job-order", "rent-payment"), List.of("erongo")))
                .book();
        Files.delete(file);
        Sample sample = Sample.read(
                "POST /rent-payment\nX-Kind: rent-invoice\n\n{\"lease\": {\"id\": 12, \"unit\": \"4b\"}, \"month\": \"2026-12\", \"amount\": 12000, "
                        + "\"lines\": [{\"text\": \"rent\", \"amount\": 11000}, {\"text\": \"water\", \"amount\": 1000}]}",
                new ArrayList<>());
        sample.state("rate=10 share=3", new ArrayList<>());
        facts = sample;
        state = sample;
        message = new Stream.Message(
                "id", (byte) 0, 2, 0, 17, 1L << 60, 1L << 60, false, true, "", "x".getBytes(StandardCharsets.UTF_8));
    }

    @Benchmark
    public int table() {
        book.decide(message, facts, state, now += 1_000, 1_800_000_000_000L, ruling);
        if (ruling.cls != 1) {
            throw new IllegalStateException("the last rule matches");
        }
        return ruling.cls;
    }
}
