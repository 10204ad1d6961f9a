package elderseam.settings;

import java.util.function.Predicate;

/**
 * A combination of settings that is refused.
 *
 * @param key the key at which it is reported
 * @param message what is wrong, and what is allowed
 * @param occurs whether settings have this conflict
 */
record SettingConflict(SettingKey<?> key, String message, Predicate<Settings> occurs) {}
