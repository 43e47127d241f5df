"""Configuration and runner records, replicated to every host.

``records`` holds a host's replica and merges new records by offset.
``storereader`` reads the platform's store with the waits that ``timing``
derives, and ``freshness`` tracks the age of the store's answers.
``recordexchange`` transfers records between hosts, and ``catchup`` decides
when to fetch them.
"""
