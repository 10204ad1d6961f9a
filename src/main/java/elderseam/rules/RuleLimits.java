package elderseam.rules;

import elderseam.settings.SettingKeys;
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
public record RuleLimits(
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

    public static final RuleLimits USUAL = of(Settings.none());

    public static RuleLimits of(Settings s) {
        return new RuleLimits(
                ZoneId.of(s.get(SettingKeys.RULES_ZONE)),
                s.get(SettingKeys.RULES_BODY_BYTES).intValue(),
                s.get(SettingKeys.RULES_BODY_DEPTH).intValue(),
                s.get(SettingKeys.RULES_FIELD_CHARS).intValue(),
                s.get(SettingKeys.RULES_LIST_ITEMS).intValue(),
                s.get(SettingKeys.RULES_BUDGET),
                s.get(SettingKeys.RULES_REQUEST_BUDGET),
                s.get(SettingKeys.RULES_WINDOW_S).intValue(),
                s.get(SettingKeys.RULES_REMEMBER_S).intValue());
    }
}
