package elderseam.rules.cel;

import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Steps that build lists and maps or select from them, and calls of {@link Functions} for all that has no step of its own. */
final class CollectionSteps {
    private CollectionSteps() {}

    /** The value of a field; with {@code testOnly} whether there is one. */
    static ValueStep select(ValueStep operand, String field, boolean testOnly) {
        long cost = ValueSize.text(field.length()).scanCost();
        return inputs -> {
            Object value = operand.evaluate(inputs);
            if (inputs.error != null) {
                return null;
            }
            if (!(value instanceof Map<?, ?> map)) {
                return inputs.failValue(EvaluationError.NO_SUCH_OVERLOAD);
            }
            Object selected = inputs.charge(cost) ? map.get(field) : null;
            if (testOnly) {
                return selected != null;
            }
            return selected != null ? selected : inputs.failValue(EvaluationError.NO_SUCH_KEY);
        };
    }

    static ValueStep createList(ValueStep[] items) {
        return inputs -> {
            List<Object> list = new ArrayList<>(items.length);
            for (ValueStep item : items) {
                Object value = item.evaluate(inputs);
                if (inputs.error != null) {
                    return null;
                }
                list.add(value);
            }
            return list;
        };
    }

    static ValueStep createMap(ValueStep[] keys, ValueStep[] values) {
        return inputs -> {
            Map<Object, Object> map = new LinkedHashMap<>();
            for (int i = 0; i < keys.length; i++) {
                Object key = keys[i].evaluate(inputs);
                Object value = inputs.error != null ? null : values[i].evaluate(inputs);
                if (inputs.error != null || !inputs.charge(CostModel.sizeOf(key).scanCost())) {
                    return null;
                }
                if (!CollectionFunctions.isKey(key)) {
                    return inputs.failValue(EvaluationError.NO_SUCH_OVERLOAD);
                }
                if (CollectionFunctions.lookup(map, key) != null) {
                    return inputs.failValue(EvaluationError.DUPLICATE_KEY);
                }
                map.put(key, value);
            }
            return map;
        };
    }

    /** A call of a function of the library; {@code pattern}: of {@link Functions#MATCHES}, else null. */
    static ValueStep call(String function, ValueStep[] arguments, Pattern pattern) {
        boolean chargesItself = Operators.chargesItemByItem(function);
        return inputs -> {
            Object[] values = new Object[arguments.length];
            ValueSize[] sizes = chargesItself ? null : new ValueSize[arguments.length];
            for (int i = 0; i < arguments.length; i++) {
                values[i] = arguments[i].evaluate(inputs);
                if (inputs.error != null) {
                    return null;
                }
                if (!chargesItself) {
                    sizes[i] = CostModel.sizeOf(values[i]);
                }
            }
            if (!inputs.charge(chargesItself ? 1 : CostModel.costOf(function, sizes))) {
                return null;
            }
            if (pattern != null) {
                return values[0] instanceof String text
                        ? (Object) pattern.matcher(text).find()
                        : inputs.failValue(EvaluationError.NO_SUCH_OVERLOAD);
            }
            CostCounter counter = inputs.counter();
            Object result = Functions.call(function, values, counter);
            inputs.charge(counter);
            if (result instanceof EvaluationError error) {
                return inputs.failValue(error);
            }
            return inputs.error != null ? null : result;
        };
    }
}
