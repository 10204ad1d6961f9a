package elderseam.rules.cel;

/** A step of a compiled expression that gives a int, unboxed. */
interface IntStep {
    /** The value; it means nothing if an error is left in the inputs. Not to be called while there is one. */
    long evaluate(EvaluationInputs inputs);
}
