package elderseam.rules.cel;

/** The null of the language, which is a value like any other. */
public enum NullValue {
    NULL;

    @Override
    public String toString() {
        return "null";
    }
}
