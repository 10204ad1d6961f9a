package elderseam.rules.cel;

/** A step of a compiled expression that gives a double, unboxed. */
interface DoubleStep {
    /** The value; it means nothing if an error is left in the inputs. Not to be called while there is one. */
    double evaluate(EvaluationInputs inputs);
}
