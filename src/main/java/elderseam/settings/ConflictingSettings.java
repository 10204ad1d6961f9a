package elderseam.settings;

import java.util.function.Predicate;

/** Values that can't stand together: at which key that is told, and in which words. */
public record ConflictingSettings(SettingKey<?> at, String words, Predicate<Settings> holds) {}
