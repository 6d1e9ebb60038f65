"""An engine that ends when it begins to answer a request with a deadly part."""

from dogwoodchute.tests import raw_endpoint, test_faulty_answers

DEADLY = "deadbeef"
WAITING = b"x-waiting: 1"  # a header of requests that are never answered


class CrashingEndpoint(raw_endpoint.RawEndpoint):
    """Answers streams of two events; ends under a request that names `DEADLY`."""

    def __init__(self, *, name):
        super().__init__(script=self._answer)
        self.name = name
        self.has_crashed = False
        self.deadly_attempts = []  # attempt ids

    def _answer(self, head, number):
        start = raw_endpoint.answer(
            head, headers=test_faulty_answers.STREAM, framed=False
        )
        if WAITING in head.lower():
            return b"", False
        if DEADLY.encode() in head:
            self.deadly_attempts.append(self.attempts[-1])
            self.has_crashed = True
            self.stop()
            return start, True
        events = test_faulty_answers.event(1), test_faulty_answers.event(2)
        chunks = test_faulty_answers.chunked(*events)
        return start + chunks + test_faulty_answers.LAST_CHUNK, False
