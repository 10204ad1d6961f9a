package elderseam.settings;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

/**
 * One key of the settings file.
 *
 * @param <T> the type of its value
 * @param section the section that it stands in
 * @param name its name in the section
 * @param allowed what is allowed, in words that follow "allowed: "
 * @param defaultText the text that counts where the file has none
 * @param reloadable whether a change takes effect on SIGHUP; otherwise when the process starts
 * @param parser the value of a text, or empty where the text is not allowed
 */
public record SettingKey<T>(
        String section,
        String name,
        String allowed,
        String defaultText,
        boolean reloadable,
        Function<String, Optional<T>> parser) {
    private static final int MAX_PORT = 65_535;

    /** The key as operators name it: {@code section.name}. */
    public String path() {
        return section + "." + name;
    }

    /** The value of a text, or empty where it is not allowed. */
    public Optional<T> parse(String text) {
        return parser.apply(text);
    }

    /** The value where the file has none. */
    public T defaultValue() {
        return parse(defaultText).orElseThrow();
    }

    /** A key for a whole number from {@code min} to {@code max}; {@code unit} may say more of it. */
    public static SettingKey<Long> integer(
            String section, String name, String unit, long min, long max, long defaultValue, boolean reloadable) {
        String allowed = min + " to " + max + " " + unit;
        return new SettingKey<>(
                section, name, allowed, Long.toString(defaultValue), reloadable, text -> parseInteger(text, min, max));
    }

    /** A key for an address and a port to listen on, or {@code off}, which is the default. */
    public static SettingKey<String> listenAddress(String section, String name) {
        return new SettingKey<>(
                section,
                name,
                "off, or ADDRESS:PORT",
                "off",
                false,
                text -> valueIf(text.equals("off") || isAddress(text), text));
    }

    /** A key for words separated by spaces or commas, each matching the regular expression; none by default. */
    public static SettingKey<List<String>> list(
            String section, String name, String allowed, String wordRegex, boolean reloadable) {
        return new SettingKey<>(section, name, allowed, "", reloadable, text -> {
            List<String> words = text.isEmpty() ? List.of() : List.of(text.split("[ ,]+"));
            return valueIf(words.stream().allMatch(word -> word.matches(wordRegex)), words);
        });
    }

    /** A key for a line that matches the regular expression, or is empty: not set, if that is the default. */
    public static SettingKey<String> text(
            String section, String name, String allowed, String regex, String defaultText, boolean reloadable) {
        return new SettingKey<>(
                section,
                name,
                allowed,
                defaultText,
                reloadable,
                text -> valueIf(text.isEmpty() || text.matches(regex), text));
    }

    /** A parser's result. */
    static <T> Optional<T> valueIf(boolean isAllowed, T value) {
        return isAllowed ? Optional.of(value) : Optional.empty();
    }

    private static Optional<Long> parseInteger(String text, long min, long max) {
        if (!text.matches("-?\\d{1,18}")) {
            return Optional.empty();
        }
        long value = Long.parseLong(text);
        return valueIf(value >= min && value <= max, value);
    }

    private static boolean isAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            return false;
        }
        String host = text.substring(0, colon).toLowerCase(Locale.ROOT);
        int port = Integer.parseInt(text.substring(colon + 1));
        return port <= MAX_PORT && host.matches("[0-9a-z.-]+|\\[[0-9a-f:.]+]");
    }
}
