package org.gypsumflow.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.TreeMap;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.RequestError;

/**
 * Authenticates callers and operators by the bearer token of a request.
 *
 * <p>A given token is compared with every known one in constant time, so that response times reveal nothing about them.
 */
public final class TokenAuthenticator {
    private static final String BEARER_PREFIX = "Bearer ";

    private final Map<String, byte[]> callers;
    private final Map<String, byte[]> operators;

    private TokenAuthenticator(Map<String, byte[]> callers, Map<String, byte[]> operators) {
        this.callers = callers;
        this.operators = operators;
    }

    /**
     * Creates an authenticator.
     *
     * @param callers token of each caller, by name
     * @param operators token of each operator, by name
     * @return the authenticator
     */
    public static TokenAuthenticator of(Map<String, String> callers, Map<String, String> operators) {
        return new TokenAuthenticator(toBytes(callers), toBytes(operators));
    }

    /**
     * Returns the caller that a token belongs to.
     *
     * @param authorization value of the Authorization header, null if it is absent
     * @return the caller
     * @throws org.gypsumflow.model.RequestException if the token belongs to no caller
     */
    public Caller authenticateCaller(String authorization) {
        String name = findName(callers, authorization);
        if (name == null) {
            throw RequestError.notRun(ErrorCode.UNKNOWN_CALLER, "header \"Authorization\": no caller has this token")
                    .toException();
        }
        return Caller.of(name);
    }

    /**
     * Returns the operator that a token belongs to.
     *
     * @param authorization value of the Authorization header, null if it is absent
     * @return the operator
     * @throws org.gypsumflow.model.RequestException if the token belongs to no operator
     */
    public Operator authenticateOperator(String authorization) {
        String name = findName(operators, authorization);
        if (name != null) {
            return Operator.of(name);
        }
        boolean isCaller = findName(callers, authorization) != null;
        ErrorCode code = isCaller ? ErrorCode.NOT_AN_OPERATOR : ErrorCode.UNKNOWN_CALLER;
        throw RequestError.notRun(code, "header \"Authorization\": no operator has this token")
                .toException();
    }

    private static String findName(Map<String, byte[]> tokens, String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            return null;
        }
        byte[] givenToken = authorization.substring(BEARER_PREFIX.length()).getBytes(StandardCharsets.UTF_8);
        String name = null;
        for (Map.Entry<String, byte[]> nameAndToken : tokens.entrySet()) {
            if (MessageDigest.isEqual(nameAndToken.getValue(), givenToken)) {
                name = nameAndToken.getKey();
            }
        }
        return name;
    }

    private static Map<String, byte[]> toBytes(Map<String, String> tokens) {
        Map<String, byte[]> encodedTokens = new TreeMap<>();
        tokens.forEach((name, token) -> encodedTokens.put(name, token.getBytes(StandardCharsets.UTF_8)));
        return encodedTokens;
    }
}
