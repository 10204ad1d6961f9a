package elderseam.settings;

import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/**
 * One setting: where it stands, what it may be, what it is where nobody tells, and whether SIGHUP can change it.
 *
 * @param allowed what is allowed, in words that follow "allowed: "
 * @param read the value of a text, or null where the text is none; it need not be told why
 */
public record SettingKey<T>(
        String section, String name, String allowed, String absent, boolean live, Function<String, T> read) {
    public String path() {
        return section + "." + name;
    }

    /** The value where the file tells none. */
    public T byDefault() {
        return read.apply(absent);
    }

    /** A whole number from {@code least} to {@code most}. */
    public static SettingKey<Long> whole(
            String section, String name, String unit, long least, long most, long absent, boolean live) {
        return new SettingKey<>(
                section, name, least + " to " + most + " " + unit, Long.toString(absent), live, text -> {
                    if (!text.matches("-?\\d{1,18}")) {
                        return null;
                    }
                    long value = Long.parseLong(text);
                    return value < least || value > most ? null : value;
                });
    }

    /** An address and a port to listen on, or off. */
    public static SettingKey<String> listen(String section, String name) {
        return new SettingKey<>(
                section,
                name,
                "off, or ADDRESS:PORT",
                "off",
                false,
                text -> text.equals("off") || address(text) ? text : null);
    }

    /** Words apart by spaces or commas, each of that form; none by default. */
    public static SettingKey<List<String>> words(
            String section, String name, String allowed, String form, boolean live) {
        return new SettingKey<>(section, name, allowed, "", live, text -> {
            List<String> words = text.isEmpty() ? List.of() : List.of(text.split("[ ,]+"));
            return words.stream().allMatch(w -> w.matches(form)) ? words : null;
        });
    }

    /** Any text of one line that matches; empty by default means that it is not set. */
    public static SettingKey<String> text(
            String section, String name, String allowed, String form, String absent, boolean live) {
        return new SettingKey<>(
                section, name, allowed, absent, live, text -> text.isEmpty() || text.matches(form) ? text : null);
    }

    static boolean address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            return false;
        }
        return Integer.parseInt(text.substring(colon + 1)) <= 65_535
                && text.substring(0, colon).toLowerCase(Locale.ROOT).matches("[0-9a-z.-]+|\\[[0-9a-f:.]+]");
    }
}
