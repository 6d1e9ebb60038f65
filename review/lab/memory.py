"""What the platform does with processes that exceed the memory of their machine."""

import asyncio

ENDS = 3  # ends of each process in a run that break the rule
RESTART_PAUSE = 0.5  # seconds until the platform starts a process again
INTERVAL = 0.02  # seconds between looks


class Watch:
    """Ends each process over its memory, starts it again, and counts the ends."""

    def __init__(self, hosts, record):
        self.ends = {host.name: 0 for host in hosts}
        self._hosts = hosts
        self._record = record
        self._tasks = []

    def start(self):
        """Begin to watch."""
        self._tasks = [asyncio.create_task(self._watch(host)) for host in self._hosts]

    async def stop(self):
        """Stop watching; return the names of the hosts with too many ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._record.write(f"processes that the platform had to end: {self.ends}")
        return [name for name, count in self.ends.items() if count >= ENDS]

    async def _watch(self, host):
        peak = 0.0
        while True:
            used = host.memory_mb()
            if used is not None and used > peak + 10:
                peak = used
                self._record.note(f"{host.name} has {used:.0f} MB")
            is_over = used is not None and used > host.memory
            if is_over or host.process.poll() is not None:
                what = f"has {used:.0f} of {host.memory} MB" if is_over else "ended"
                self._record.write(f"{host.name} {what}; it is started again")
                self.ends[host.name] += 1
                host.process.kill()
                host.process.wait()
                await asyncio.sleep(RESTART_PAUSE)
                peak = 0.0
                host.start()
            await asyncio.sleep(INTERVAL)
