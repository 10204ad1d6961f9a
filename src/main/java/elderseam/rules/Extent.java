package elderseam.rules;

import elderseam.settings.Keys;
import elderseam.settings.Settings;
import java.time.ZoneId;

/**
 * How large inputs may be, in characters, items and levels, and what an expression may cost at the most, in units. What is larger
 * is an error where a rule comes to it.
 *
 * @param budget of one expression; {@code requestBudget}: of all that one request may meet
 * @param windowS seconds over which a tenant's rate is taken
 * @param rememberS seconds for which the end of a message with a key is remembered
 */
public record Extent(
        ZoneId zone,
        int bodyBytes,
        int bodyDepth,
        int fieldChars,
        int listItems,
        long budget,
        long requestBudget,
        int windowS,
        int rememberS) {
    static final int HEADERS = 64, HEADER_CHARS = 1_024, ATTRIBUTES = 32;

    public static final Extent USUAL = of(Settings.none());

    public static Extent of(Settings s) {
        return new Extent(
                ZoneId.of(s.get(Keys.RULES_ZONE)),
                s.get(Keys.RULES_BODY_BYTES).intValue(),
                s.get(Keys.RULES_BODY_DEPTH).intValue(),
                s.get(Keys.RULES_FIELD_CHARS).intValue(),
                s.get(Keys.RULES_LIST_ITEMS).intValue(),
                s.get(Keys.RULES_BUDGET),
                s.get(Keys.RULES_REQUEST_BUDGET),
                s.get(Keys.RULES_WINDOW_S).intValue(),
                s.get(Keys.RULES_REMEMBER_S).intValue());
    }
}
