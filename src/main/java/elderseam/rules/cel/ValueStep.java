package elderseam.rules.cel;

/** A step of a compiled expression that gives a value of any type, boxed. */
interface ValueStep {
    /** The value; null if an error is left in the inputs. Not to be called while there is one. */
    Object evaluate(EvaluationInputs inputs);
}
