package elderseam.rules;

import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.time.ZoneId;

/**
 * Bounds on what rules read and cost, and the zone of their local time. An input above its bound is an error of the
 * rule that reads it. Costs are in units of about one small evaluation step.
 *
 * @param zone of {@code local.} variables
 * @param maxBodyBytes largest body of which fields are read
 * @param maxBodyDepth deepest nesting of such a body
 * @param maxFieldChars longest string in a field of a body
 * @param maxListItems most items in all lists and maps of one field
 * @param expressionBudget most units that one expression may cost
 * @param requestBudget most units that all rules together may cost for one request
 * @param rateWindowSeconds over which a tenant's request rate is measured
 * @param rememberSeconds for which the outcome of a request with an idempotency key is remembered
 */
public record RuleLimits(
        ZoneId zone,
        int maxBodyBytes,
        int maxBodyDepth,
        int maxFieldChars,
        int maxListItems,
        long expressionBudget,
        long requestBudget,
        int rateWindowSeconds,
        int rememberSeconds) {
    /** Most headers of one request. */
    static final int MAX_HEADERS = 64;

    /** Longest value of a header, an event's attribute or the path. */
    static final int MAX_HEADER_CHARS = 1_024;

    /** Most attributes of one event. */
    static final int MAX_ATTRIBUTES = 32;

    /** The limits of settings that set none. */
    public static final RuleLimits DEFAULTS = of(Settings.none());

    /** The limits that the operator's settings give. */
    public static RuleLimits of(Settings settings) {
        return new RuleLimits(
                ZoneId.of(settings.get(SettingKeys.RULES_ZONE)),
                settings.get(SettingKeys.RULES_BODY_BYTES).intValue(),
                settings.get(SettingKeys.RULES_BODY_DEPTH).intValue(),
                settings.get(SettingKeys.RULES_FIELD_CHARS).intValue(),
                settings.get(SettingKeys.RULES_LIST_ITEMS).intValue(),
                settings.get(SettingKeys.RULES_BUDGET),
                settings.get(SettingKeys.RULES_REQUEST_BUDGET),
                settings.get(SettingKeys.RULES_WINDOW_S).intValue(),
                settings.get(SettingKeys.RULES_REMEMBER_S).intValue());
    }
}
