package elderseam.rules.cel;

import java.util.List;

/** An expression that can't be used; it ends at {@link Expression#compile}. */
final class ExpressionException extends Exception {
    private static final long serialVersionUID = 1;
    final transient List<ExpressionFault> faults;

    ExpressionException(List<ExpressionFault> faults) {
        super(faults.get(0).shown(), null, false, false);
        this.faults = faults;
    }

    ExpressionException(ExpressionFault fault) {
        this(List.of(fault));
    }
}
