package org.gypsumflow.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.TreeMap;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.RequestError;

/** Knows the tokens of callers and operators; every token is compared in constant time. */
public final class TokenAuthenticator {
    private static final String SCHEME = "Bearer ";

    private final Map<String, byte[]> callers;
    private final Map<String, byte[]> operators;

    private TokenAuthenticator(Map<String, byte[]> callers, Map<String, byte[]> operators) {
        this.callers = callers;
        this.operators = operators;
    }

    /**
     * Creates the list.
     *
     * @param callers token by caller
     * @param operators token by operator
     * @return the list
     */
    public static TokenAuthenticator of(Map<String, String> callers, Map<String, String> operators) {
        return new TokenAuthenticator(bytes(callers), bytes(operators));
    }

    /**
     * Finds the caller of a request.
     *
     * @param authorization value of the Authorization header, or null
     * @return the caller
     * @throws org.gypsumflow.model.RequestException if the token belongs to no caller
     */
    public Caller authenticateCaller(String authorization) {
        String name = find(callers, authorization);
        if (name == null) {
            throw RequestError.notRun(ErrorCode.UNKNOWN_CALLER, "header \"Authorization\": no caller has this token")
                    .toException();
        }
        return Caller.of(name);
    }

    /**
     * Finds the operator of a request.
     *
     * @param authorization value of the Authorization header, or null
     * @return the operator
     * @throws org.gypsumflow.model.RequestException if the token belongs to no operator
     */
    public Operator authenticateOperator(String authorization) {
        String name = find(operators, authorization);
        if (name != null) {
            return Operator.of(name);
        }
        boolean isCaller = find(callers, authorization) != null;
        ErrorCode code = isCaller ? ErrorCode.NOT_AN_OPERATOR : ErrorCode.UNKNOWN_CALLER;
        throw RequestError.notRun(code, "header \"Authorization\": no operator has this token")
                .toException();
    }

    private static String find(Map<String, byte[]> tokens, String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return null;
        }
        byte[] given = authorization.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8);
        String found = null;
        for (Map.Entry<String, byte[]> token : tokens.entrySet()) {
            if (MessageDigest.isEqual(token.getValue(), given)) {
                found = token.getKey();
            }
        }
        return found;
    }

    private static Map<String, byte[]> bytes(Map<String, String> tokens) {
        Map<String, byte[]> bytes = new TreeMap<>();
        tokens.forEach((name, token) -> bytes.put(name, token.getBytes(StandardCharsets.UTF_8)));
        return bytes;
    }
}
