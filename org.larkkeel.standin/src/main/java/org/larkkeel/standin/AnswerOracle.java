/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The expected answers of the stand-in engines, as a pure function of model and prompt.
 *
 * <p>Engines produce these answers; tests compare what a caller received with them.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class AnswerOracle {
  private static final int BYTES_PER_TOKEN = 4;
  private static final int MIN_LENGTH_TOKENS = 48;
  private static final int LENGTH_RANGE_TOKENS = 400;
  private static final long TOKEN_SEED_STEP = 0x9E3779B97F4A7C15L;

  /** Contains multi-byte and JSON-escaped characters. The number of words is a power of two. */
  private static final String[] WORDS = {
    "precio", "tejido", "niño", "barro", "\"cita\"", "línea\n", "feria", "caña",
    "ülevaade", "tellingud", "koormus", "šahht", "a\\b", "õue", "plaan", "10 €"
  };

  private AnswerOracle() {}

  /**
   * One answer, with the hash of model and prompt computed once.
   *
   * <p>Immutable and safe for use by several threads.
   *
   * @param seed the hash of model and prompt
   * @param length the number of tokens of the answer without a limit
   * @since 0.1
   */
  public record Answer(long seed, int length) {

    /**
     * Returns the text of one token.
     *
     * @param index the position, from 0
     * @return the text, never empty
     */
    public String text(int index) {
      long hash = mix(seed + (index + 1) * TOKEN_SEED_STEP);
      String word = WORDS[(int) (hash & (WORDS.length - 1))];
      return " " + word + Long.toString((hash >>> 8) & 0xFFF, Character.MAX_RADIX);
    }

    /**
     * Returns the number of tokens that are produced under a limit.
     *
     * @param maxTokens the limit in tokens
     * @return the lesser of the limit and the answer's own length
     */
    public int tokens(int maxTokens) {
      return Math.min(maxTokens, length);
    }

    /**
     * Returns the complete text under a limit.
     *
     * @param maxTokens the limit in tokens
     * @return the texts of all tokens, joined
     */
    public String completeText(int maxTokens) {
      StringBuilder joined = new StringBuilder();
      for (int i = 0; i < tokens(maxTokens); i++) {
        joined.append(text(i));
      }
      return joined.toString();
    }
  }

  /**
   * Returns the answer to a prompt.
   *
   * @param model the model's name
   * @param prompt the prompt
   * @return the answer
   */
  public static Answer answer(String model, String prompt) {
    HashCode hash =
        Hashing.sha256()
            .newHasher()
            .putString(model, StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putString(prompt, StandardCharsets.UTF_8)
            .hash();
    return new Answer(hash.asLong(), naturalLength(prompt));
  }

  /**
   * Returns the text of one token.
   *
   * @param model the model's name
   * @param prompt the prompt
   * @param index the position of the token, from 0
   * @return the text, never empty
   */
  public static String text(String model, String prompt, int index) {
    return answer(model, prompt).text(index);
  }

  /**
   * Returns the complete text of an answer.
   *
   * @param model the model's name
   * @param prompt the prompt
   * @param maxTokens the limit in tokens
   * @return the texts of all tokens, joined
   */
  public static String completeText(String model, String prompt, int maxTokens) {
    return answer(model, prompt).completeText(maxTokens);
  }

  /**
   * Returns the number of tokens in an answer.
   *
   * @param prompt the prompt
   * @param maxTokens the limit in tokens
   * @return the lesser of the limit and the answer's own length
   */
  public static int tokens(String prompt, int maxTokens) {
    return Math.min(maxTokens, naturalLength(prompt));
  }

  /**
   * Returns the number of tokens in a prompt: one per four bytes of UTF-8, rounded up.
   *
   * @param prompt the prompt
   * @return the number of tokens
   */
  public static int promptTokens(String prompt) {
    int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
    return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  }

  private static int naturalLength(String prompt) {
    long hash = Hashing.murmur3_128().hashString(prompt, StandardCharsets.UTF_8).asLong();
    return MIN_LENGTH_TOKENS + (int) Long.remainderUnsigned(hash, LENGTH_RANGE_TOKENS);
  }

  private static long mix(long value) {
    long z = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
