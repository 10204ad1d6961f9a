package elderseam.rules.cel;

/** A step of a compiled expression that gives a bool, unboxed. */
interface BoolStep {
    /** The value; it means nothing if an error is left in the inputs. Not to be called while there is one. */
    boolean evaluate(EvaluationInputs inputs);
}
