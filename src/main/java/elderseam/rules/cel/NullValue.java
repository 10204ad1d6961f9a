package elderseam.rules.cel;

/** The null of the language, which is a value like any other; a Java null stands for no value. */
public enum NullValue {
    /** The only value of its type. */
    NULL;

    @Override
    public String toString() {
        return "null";
    }
}
