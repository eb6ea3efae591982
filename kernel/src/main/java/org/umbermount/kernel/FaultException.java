package org.umbermount.kernel;

/** An error of a listed kind with a detail for a person. */
public final class FaultException extends Exception {
    private final Erratum erratum;

    public FaultException(Erratum erratum, String detail) {
        super(detail);
        this.erratum = erratum;
    }

    public Erratum erratum() {
        return erratum;
    }
}
