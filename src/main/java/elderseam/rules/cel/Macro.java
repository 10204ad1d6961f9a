package elderseam.rules.cel;

import java.util.Optional;

/** The comprehension macros of the CEL specification. {@code has} is a macro too, and stands in the tree as a selection. */
enum Macro {
    ALL("all"),
    EXISTS("exists"),
    EXISTS_ONE("exists_one"),
    FILTER("filter"),
    MAP("map");

    private final String text;

    Macro(String text) {
        this.text = text;
    }

    static Optional<Macro> named(String text) {
        for (Macro macro : values()) {
            if (macro.text.equals(text)) {
                return Optional.of(macro);
            }
        }
        return Optional.empty();
    }

    /** Whether the macro gives a list; the others give a bool. */
    boolean givesList() {
        return this == FILTER || this == MAP;
    }

    /** The name as it is written in an expression. */
    @Override
    public String toString() {
        return text;
    }
}
