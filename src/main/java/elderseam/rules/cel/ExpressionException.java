package elderseam.rules.cel;

import java.util.List;

/** Thrown where an expression can't be compiled, with its faults; {@link Expression#compile} returns them. */
final class ExpressionException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<ExpressionFault> faults;

    /** With at least one fault. */
    ExpressionException(List<ExpressionFault> faults) {
        super(faults.get(0).describe(), null, false, false);
        this.faults = faults;
    }

    ExpressionException(ExpressionFault fault) {
        this(List.of(fault));
    }

    List<ExpressionFault> faults() {
        return faults;
    }
}
