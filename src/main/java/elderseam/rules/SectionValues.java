package elderseam.rules;

import elderseam.settings.SectionFile.Section;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads values that are no expressions: words, numbers and destinations. */
final class SectionValues {
    private static final Pattern NUMBER = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");
    private static final Pattern DESTINATION = Pattern.compile("\\d{1,18}");

    /** Regular expression of what separates the words of a value, which may go on in further lines. */
    static final String SEPARATOR = "[ \n]+";

    /** The numbers that a key allows. */
    record Range(double min, double max) {
        boolean contains(double number) {
            return number >= min && number <= max;
        }
    }

    private SectionValues() {}

    /** One of a few words; the default where the section has no such key. */
    static String word(Section section, String key, String defaultWord, Set<String> allowed, RuleFaults faults) {
        String word = section.text(key, defaultWord);
        if (!allowed.contains(word)) {
            List<String> sorted = allowed.stream().sorted().toList();
            faults.add(section, key, "'" + word + "' can't be used, allowed: " + String.join(" or ", sorted));
        }
        return word;
    }

    /** A number that the section must have; the least allowed where it is faulty. */
    static double requiredNumber(Section section, String key, Range range, RuleFaults faults) {
        if (!section.has(key)) {
            faults.add(section, key + " is missing, allowed: " + range.min + " to " + range.max);
            return range.min;
        }
        return presentNumber(section, key, range, faults);
    }

    /** A whole number, fractions cut off; the least allowed where it is faulty, the default where it is absent. */
    static int number(Section section, String key, Range range, int defaultNumber, RuleFaults faults) {
        return section.has(key) ? (int) presentNumber(section, key, range, faults) : defaultNumber;
    }

    private static double presentNumber(Section section, String key, Range range, RuleFaults faults) {
        String text = section.text(key, "");
        OptionalDouble number = parse(text);
        if (number.isEmpty() || !range.contains(number.getAsDouble())) {
            faults.add(section, key, "'" + text + "' can't be used, allowed: " + range.min + " to " + range.max);
            return range.min;
        }
        return number.getAsDouble();
    }

    private static OptionalDouble parse(String text) {
        return NUMBER.matcher(text).matches() ? OptionalDouble.of(Double.parseDouble(text)) : OptionalDouble.empty();
    }

    /** The words of a value; none where it is blank or absent. */
    static List<String> words(Section section, String key) {
        String text = section.text(key, "");
        return text.isBlank() ? List.of() : List.of(text.split(SEPARATOR));
    }

    /** The destinations of a value, without those that are faulty. */
    static List<Long> destinations(Section section, String key, RuleFaults faults) {
        List<Long> destinations = new ArrayList<>();
        for (String word : words(section, key)) {
            if (DESTINATION.matcher(word).matches()) {
                destinations.add(Long.parseLong(word));
            } else {
                faults.add(section, key, "'" + word + "' is no destination, allowed: whole numbers apart by spaces");
            }
        }
        return destinations;
    }
}
