package elderseam.rules.lang;

/** An error as a value: what went wrong in an evaluation. */
public record Err(String words) {
    static final Err OVERFLOW = new Err("overflow"),
            BY_ZERO = new Err("division by zero"),
            COST = new Err("above its budget"),
            NO_OVERLOAD = new Err("no such overload"),
            NO_KEY = new Err("no such key"),
            BOUNDS = new Err("index out of bounds"),
            NO_NAME = new Err("no value for a name"),
            DUPLICATE = new Err("a key twice in one map"),
            RANGE = new Err("out of range");
}
