/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import io.undertow.util.HttpString;
import java.util.List;
import java.util.function.Function;
import org.larkkeel.http.upstream.ResponseCollector;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.RateLimitNotice;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.UpstreamNotice;

/**
 * Reads the notices that upstreams put into the heads of their answers, and submits them to the
 * router. Notices may come with any answer, to calls as well as to control calls.
 *
 * <p>Safe for use by several threads.
 */
final class NoticeReader {
  private static final int MISDIRECTED_REQUEST = 421;

  private final RelayLoop loop;
  private final RelayDialect dialect;

  NoticeReader(RelayLoop loop, RelayDialect dialect) {
    this.loop = loop;
    this.dialect = dialect;
  }

  /** Returns the current time of the clock that events carry. */
  long now() {
    return loop.now();
  }

  /**
   * Reads the head of an answer to a request. An answer with status 421 is ignored: it comes from
   * another incarnation at the same address and does not describe the requested one.
   *
   * @param upstream the incarnation to which the request was sent
   * @param sentAt the time at which the request was sent
   * @param status the status of the answer
   * @param headers returns the values of a header; null or empty if there is none
   * @param isOwn true if this appears to be the answer to a caller's request; only such an answer
   *     shows, by naming no rate limit, that the limit has ended
   */
  void read(
      UpstreamIncarnation upstream,
      long sentAt,
      int status,
      Function<HttpString, List<String>> headers,
      boolean isOwn) {
    if (status == MISDIRECTED_REQUEST) {
      return;
    }
    UpstreamNotice parsed = dialect.notice(status, headers);
    UpstreamNotice notice = isOwn ? parsed : parsed.withoutLimitEnd();
    if (!notice.isEmpty() || (endsLimit(notice) && loop.isRateLimited(upstream))) {
      loop.submit(new RelayEvent.Noticed(loop.now(), upstream, sentAt, notice));
    }
  }

  /**
   * Reads the head of the answer to a control call. That it names no rate limit does not show that
   * requests have none.
   */
  void read(UpstreamIncarnation upstream, long sentAt, ResponseCollector.Response answer) {
    read(upstream, sentAt, answer.status(), name -> answer.headers().get(name), false);
  }

  private static boolean endsLimit(UpstreamNotice notice) {
    return notice.rate() instanceof RateLimitNotice.Unlimited;
  }
}
