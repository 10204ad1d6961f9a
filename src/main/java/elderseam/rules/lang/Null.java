package elderseam.rules.lang;

/** The null of the language, which is a value like any other. */
public enum Null {
    NULL;

    @Override
    public String toString() {
        return "null";
    }
}
