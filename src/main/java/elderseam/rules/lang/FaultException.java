package elderseam.rules.lang;

import java.util.List;

/** An expression that can't be used; it ends at {@link Expression#compile}. */
final class FaultException extends Exception {
    private static final long serialVersionUID = 1;
    final transient List<Fault> faults;

    FaultException(List<Fault> faults) {
        super(faults.get(0).shown(), null, false, false);
        this.faults = faults;
    }

    FaultException(Fault fault) {
        this(List.of(fault));
    }
}
