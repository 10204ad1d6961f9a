package elderseam.rules.cel;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The names that {@link RandomExpressions} use, and random values for them, within their declared sizes. */
final class RandomInputs {
    static final Scope SCOPE = new Scope()
            .name("i", Type.Plain.INT, ValueSize.ONE)
            .name("u", Type.Plain.UINT, ValueSize.ONE)
            .name("d", Type.Plain.DOUBLE, ValueSize.ONE)
            .name("b", Type.Plain.BOOL, ValueSize.ONE)
            .name("s", Type.Plain.STRING, ValueSize.text(40))
            .name("t", Type.Plain.TIMESTAMP, ValueSize.ONE)
            .name("p", Type.Plain.DURATION, ValueSize.ONE)
            .name("l", new Type.ListType(Type.Plain.INT), ValueSize.list(5, ValueSize.ONE))
            .name("w", new Type.ListType(Type.Plain.STRING), ValueSize.list(4, ValueSize.text(20)))
            .name("m", new Type.MapType(Type.Plain.STRING, Type.Plain.INT), ValueSize.list(3, ValueSize.text(1)));

    private static final long BASE_EPOCH_SECOND = 1_790_000_000L;

    private RandomInputs() {}

    static Map<String, Object> values(Random random) {
        List<Object> numbers = new ArrayList<>();
        random.longs(random.nextInt(6), -5, 9).forEach(numbers::add);
        List<Object> words = new ArrayList<>();
        for (int count = random.nextInt(5); count > 0; count--) {
            words.add("aäb".repeat(random.nextInt(7)));
        }
        Map<String, Object> values = new HashMap<>();
        values.put("i", (long) random.nextInt(9));
        values.put("u", new UnsignedLong(random.nextInt(9)));
        values.put("d", random.nextInt(40) / 8.0);
        values.put("b", random.nextBoolean());
        values.put("s", "abcä".repeat(random.nextInt(11)));
        values.put("t", Instant.ofEpochSecond(BASE_EPOCH_SECOND + random.nextInt(10_000_000)));
        values.put("p", Duration.ofSeconds(random.nextInt(10_000)));
        values.put("l", numbers);
        values.put("w", words);
        values.put("m", random.nextBoolean() ? Map.of("a", 1L, "b", -2L) : Map.of("b", 5L));
        return values;
    }

    /** The inputs of a compiled expression, of these values by name. */
    static EvaluationInputs inputs(Scope scope, Map<String, Object> values) {
        Object[] byNumber = new Object[scope.size()];
        values.forEach((name, value) -> byNumber[scope.number(name)] = value);
        return new EvaluationInputs() {
            @Override
            protected Object value(int name) {
                return byNumber[name];
            }
        };
    }
}
